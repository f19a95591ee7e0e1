package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// Order is a request to load or unload an artifact. An artifact is named
// MODEL[+ADAPTER][@VERSION].
type Order struct {
	Action  string `json:"action"`
	Model   string `json:"model"`
	Fencing int64  `json:"fencing"`
	// KeepOld keeps other versions of the artifact loaded. Otherwise they are
	// unloaded when the load starts.
	KeepOld bool `json:"beside"`
}

// The status of an artifact in the list of models.
const (
	statusReady   = "ready"
	statusLoading = "loading"
)

// stripVersion returns the artifact name without its version.
func stripVersion(artifact string) string {
	before, _, _ := strings.Cut(artifact, "@")
	return before
}

// Ready reports whether any artifact of the model is ready. model may name a
// model, a model with an adapter, or an exact artifact.
func (e *Engine) Ready(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for artifact, ready := range e.models {
		base, _, _ := strings.Cut(stripVersion(artifact), "+")
		if ready && (artifact == model || stripVersion(artifact) == model || base == model) {
			return true
		}
	}
	return false
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
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
	if e.options.ChecksFencing && in.Fencing < e.fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, in.Fencing)
	e.orders = append(e.orders, in)
	if in.Action == "load" {
		e.startLoad(in)
	} else {
		delete(e.models, in.Model)
	}
	w.WriteHeader(http.StatusOK)
}

// startLoad starts to load an artifact unless it is loaded or being loaded. The
// caller holds e.mu.
func (e *Engine) startLoad(in Order) {
	if _, exists := e.models[in.Model]; exists {
		return
	}
	if !in.KeepOld {
		for artifact := range e.models {
			if stripVersion(artifact) == stripVersion(in.Model) {
				delete(e.models, artifact)
			}
		}
	}
	e.models[in.Model] = e.options.Weights == nil
	if e.options.Weights != nil {
		go e.loadWeights(in.Model)
	}
}

func (e *Engine) loadWeights(artifact string) {
	if e.options.Weights.Load(context.Background(), artifact) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, exists := e.models[artifact]; exists {
		e.models[artifact] = true
	}
}

// Orders returns the orders that the engine accepted.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// UnloadAll unloads all models, as a restart would.
func (e *Engine) UnloadAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.models)
}

// ArtifactReady reports whether exactly this artifact is ready.
func (e *Engine) ArtifactReady(artifact string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[artifact]
}

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
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
