package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// Order asks an engine to load or unload an artifact: a model, "+" and an
// adapter, "@" and a version, as far as they are named.
type Order struct {
	Action  string `json:"action"`
	Model   string `json:"model"`
	Fencing int64  `json:"fencing"`
	// KeepOld keeps other versions until the new one is ready.
	KeepOld bool `json:"beside"`
}

// The states of an artifact in the list of models.
const (
	statusReady   = "ready"
	statusLoading = "loading"
)

// artifactLine is an artifact without its version.
func artifactLine(artifact string) string {
	before, _, _ := strings.Cut(artifact, "@")
	return before
}

// Ready reports whether a version of the model or adapter is ready.
func (e *Engine) Ready(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for artifact, ready := range e.models {
		base, _, _ := strings.Cut(artifactLine(artifact), "+")
		if ready && (artifact == model || artifactLine(artifact) == model || base == model) {
			return true
		}
	}
	return false
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in Order
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		panic(http.ErrAbortHandler)
	}
	if e.o.ChecksFencing && in.Fencing < e.fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, in.Fencing)
	e.orders = append(e.orders, in)
	if in.Action == "load" {
		e.beginLoad(in)
	} else {
		delete(e.models, in.Model)
	}
	w.WriteHeader(http.StatusOK)
}

// beginLoad starts a load that is not under way; the caller holds e.mu.
func (e *Engine) beginLoad(in Order) {
	if _, known := e.models[in.Model]; known {
		return
	}
	if !in.KeepOld {
		for artifact := range e.models {
			if artifactLine(artifact) == artifactLine(in.Model) {
				delete(e.models, artifact)
			}
		}
	}
	e.models[in.Model] = e.o.Weights == nil
	if e.o.Weights != nil {
		go e.fetch(in.Model)
	}
}

func (e *Engine) fetch(artifact string) {
	if e.o.Weights.Load(context.Background(), artifact) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, wanted := e.models[artifact]; wanted {
		e.models[artifact] = true
	}
}

// Orders returns the orders that the engine took.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// UnloadAll makes the engine hold nothing, as after a restart.
func (e *Engine) UnloadAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.models)
}

// ArtifactReady reports whether the artifact is ready.
func (e *Engine) ArtifactReady(artifact string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[artifact]
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Status string `json:"status"`
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		panic(http.ErrAbortHandler)
	}
	list := make([]model, 0, len(e.models))
	for name, ready := range e.models {
		status := statusReady
		if !ready {
			status = statusLoading
		}
		list = append(list, model{name, status})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": list})
}
