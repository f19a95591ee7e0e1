package answer

import (
	"encoding/json"

	"github.com/tidwall/gjson"
)

// IsUsage reports whether a chunk carries nothing but the usage.
func IsUsage(chunk []byte) bool {
	return gjson.GetBytes(chunk, "usage").IsObject() && gjson.GetBytes(chunk, "choices.#").Int() == 0
}

// Chunk returns a whole answer as the one chunk of a stream.
func Chunk(body []byte) []byte {
	var answer map[string]any
	if err := json.Unmarshal(body, &answer); err != nil {
		return body
	}
	if answer["object"] == "chat.completion" {
		answer["object"] = "chat.completion.chunk"
	}
	choices, _ := answer["choices"].([]any)
	for _, one := range choices {
		if choice, ok := one.(map[string]any); ok && choice["message"] != nil {
			choice["delta"] = choice["message"]
			delete(choice, "message")
		}
	}
	chunk, err := json.Marshal(answer)
	if err != nil {
		return body
	}
	return chunk
}
