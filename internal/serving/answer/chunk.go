package answer

import (
	"encoding/json"

	"github.com/tidwall/gjson"
)

// IsUsage reports whether a chunk has a usage object and no choices.
func IsUsage(chunk []byte) bool {
	return gjson.GetBytes(chunk, "usage").IsObject() && gjson.GetBytes(chunk, "choices.#").Int() == 0
}

// Chunk converts a complete answer to the only chunk of a stream. A body that is
// not a JSON object is returned unchanged.
func Chunk(body []byte) []byte {
	var answer map[string]any
	if err := json.Unmarshal(body, &answer); err != nil {
		return body
	}
	if answer["object"] == "chat.completion" {
		answer["object"] = "chat.completion.chunk"
	}
	choices, _ := answer["choices"].([]any)
	for _, element := range choices {
		if choice, ok := element.(map[string]any); ok && choice["message"] != nil {
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
