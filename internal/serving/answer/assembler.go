// Package answer converts between streamed chunks and complete answers in the
// OpenAI format.
package answer

import (
	"encoding/json"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// Assembler merges the chunks of a stream into one complete answer. It keeps
// every field that the engine sent: objects are merged, arrays are merged by the
// index of their elements, and strings within a delta are concatenated.
type Assembler struct {
	merged map[string]any
}

// Add merges one chunk.
func (a *Assembler) Add(chunk []byte) *result.Error {
	var part map[string]any
	if err := json.Unmarshal(chunk, &part); err != nil {
		return result.New(result.BackendFailed, "engine sent a malformed chunk: %v", err).WithRan(result.RanYes)
	}
	if a.merged == nil {
		a.merged = make(map[string]any)
	}
	mergeObject(a.merged, part, false)
	return nil
}

// repeatedFields lists string fields that each delta repeats instead of
// extending.
var repeatedFields = map[string]bool{
	"id": true, "object": true, "model": true, "role": true, "type": true, "finish_reason": true,
	"system_fingerprint": true, "service_tier": true,
}

// mergeObject merges the fields of part into target. Strings are concatenated if
// concatenate is set or the field is a delta or text, else replaced; those of
// repeatedFields are always replaced.
func mergeObject(target, part map[string]any, concatenate bool) {
	for name, value := range part {
		concatenateField := concatenate || name == "delta" || name == "text"
		target[name] = mergeValue(target[name], value, concatenateField && !repeatedFields[name])
	}
}

// mergeValue returns old merged with value; a null value leaves old as it is.
func mergeValue(old, value any, concatenate bool) any {
	switch v := value.(type) {
	case nil:
		return old
	case string:
		if prefix, ok := old.(string); ok && concatenate {
			return prefix + v
		}
	case map[string]any:
		target, ok := old.(map[string]any)
		if !ok {
			target = make(map[string]any)
		}
		mergeObject(target, v, concatenate)
		return target
	case []any:
		target, _ := old.([]any)
		return mergeArray(target, v, concatenate)
	}
	return value
}

// mergeArray merges elements that have an index field and appends the others.
func mergeArray(target, parts []any, concatenate bool) []any {
	for _, part := range parts {
		element, ok := part.(map[string]any)
		if !ok {
			target = append(target, part)
			continue
		}
		target = mergeIndexed(target, element, concatenate)
	}
	return target
}

// mergeIndexed merges element into the one with the same index, or appends it.
func mergeIndexed(target []any, element map[string]any, concatenate bool) []any {
	index, indexed := element["index"].(float64)
	for _, existing := range target {
		if object, ok := existing.(map[string]any); ok && indexed && object["index"] == index {
			mergeObject(object, element, concatenate)
			return target
		}
	}
	added := make(map[string]any)
	mergeObject(added, element, concatenate)
	return append(target, added)
}

// JSON returns the complete answer in the format of a non-streamed call.
func (a *Assembler) JSON() ([]byte, *result.Error) {
	if a.merged == nil {
		return nil, result.New(result.BackendFailed, "engine sent no answer").WithRan(result.RanYes)
	}
	if a.merged["object"] == "chat.completion.chunk" {
		a.merged["object"] = "chat.completion"
	}
	choices, _ := a.merged["choices"].([]any)
	for _, element := range choices {
		choice, ok := element.(map[string]any)
		if !ok {
			continue
		}
		if delta, ok := choice["delta"]; ok {
			choice["message"] = delta
			delete(choice, "delta")
		}
	}
	body, err := json.Marshal(a.merged)
	if err != nil {
		return nil, result.From(err)
	}
	return body, nil
}
