// Package answer makes whole answers of the events of a run, and chunks of
// whole answers, in the form that callers' tools know.
package answer

import (
	"encoding/json"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// Assembler makes one whole answer of the chunks of a stream, keeping every
// field that the engine sent: objects are merged, arrays are merged by their
// elements' index, strings of a delta are joined.
type Assembler struct {
	whole map[string]any
}

// Add merges one chunk.
func (a *Assembler) Add(chunk []byte) *result.Error {
	var piece map[string]any
	if err := json.Unmarshal(chunk, &piece); err != nil {
		return result.New(result.BackendFailed, "engine sent a malformed chunk: %v", err).WithRan(result.RanYes)
	}
	if a.whole == nil {
		a.whole = make(map[string]any)
	}
	mergeObject(a.whole, piece, false)
	return nil
}

// constant are string fields that repeat in each delta instead of growing.
var constant = map[string]bool{
	"id": true, "object": true, "model": true, "role": true, "type": true, "finish_reason": true,
	"system_fingerprint": true, "service_tier": true,
}

func mergeObject(into, piece map[string]any, growing bool) {
	for name, value := range piece {
		grows := growing || name == "delta" || name == "text"
		into[name] = mergeValue(into[name], value, grows && !constant[name])
	}
}

func mergeValue(old, value any, growing bool) any {
	switch v := value.(type) {
	case nil:
		return old
	case string:
		if before, ok := old.(string); ok && growing {
			return before + v
		}
	case map[string]any:
		into, ok := old.(map[string]any)
		if !ok {
			into = make(map[string]any)
		}
		mergeObject(into, v, growing)
		return into
	case []any:
		into, _ := old.([]any)
		return mergeArray(into, v, growing)
	}
	return value
}

// mergeArray merges elements that name their index and appends the others.
func mergeArray(into, pieces []any, growing bool) []any {
	for _, piece := range pieces {
		element, ok := piece.(map[string]any)
		if !ok {
			into = append(into, piece)
			continue
		}
		into = mergeIndexed(into, element, growing)
	}
	return into
}

func mergeIndexed(into []any, element map[string]any, growing bool) []any {
	index, indexed := element["index"].(float64)
	for _, old := range into {
		if before, ok := old.(map[string]any); ok && indexed && before["index"] == index {
			mergeObject(before, element, growing)
			return into
		}
	}
	fresh := make(map[string]any)
	mergeObject(fresh, element, growing)
	return append(into, fresh)
}

// JSON returns the whole answer in the form of an unstreamed call.
func (a *Assembler) JSON() ([]byte, *result.Error) {
	if a.whole == nil {
		return nil, result.New(result.BackendFailed, "engine sent no answer").WithRan(result.RanYes)
	}
	if a.whole["object"] == "chat.completion.chunk" {
		a.whole["object"] = "chat.completion"
	}
	choices, _ := a.whole["choices"].([]any)
	for _, one := range choices {
		choice, ok := one.(map[string]any)
		if !ok {
			continue
		}
		if delta, ok := choice["delta"]; ok {
			choice["message"] = delta
			delete(choice, "delta")
		}
	}
	body, err := json.Marshal(a.whole)
	if err != nil {
		return nil, result.From(err)
	}
	return body, nil
}
