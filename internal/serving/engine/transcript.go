package engine

import (
	"strings"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// Transcript is what an engine has produced for one request so far, and the
// means to go on from there on the same or another engine. An answer with
// several choices or with tool calls can't be resumed, only begun again.
type Transcript struct {
	text   strings.Builder
	tokens int
	// broken says that something other than the text of choice 0 came.
	broken bool
	// finished says that the engine gave its reason to stop.
	finished bool
}

// NewTranscript returns the transcript a request starts from.
func NewTranscript(r *request.Request) *Transcript {
	t := new(Transcript)
	text, tokens := r.Resume()
	t.text.WriteString(text)
	t.tokens = tokens
	return t
}

// Add notes one chunk of the stream and returns the tokens in it.
func (t *Transcript) Add(chunk []byte) int {
	choices := gjson.GetBytes(chunk, "choices")
	produced := 0
	choices.ForEach(func(_, choice gjson.Result) bool {
		produced += t.addChoice(choice)
		return true
	})
	return produced
}

func (t *Transcript) addChoice(choice gjson.Result) int {
	if choice.Get("index").Int() != 0 || choice.Get("delta.tool_calls").Exists() {
		t.broken = true
		return 0
	}
	if choice.Get("finish_reason").Type == gjson.String {
		t.finished = true
	}
	text := choice.Get("delta.content").String()
	if text == "" {
		text = choice.Get("text").String()
	}
	if text == "" {
		return 0
	}
	t.text.WriteString(text)
	t.tokens++
	return 1
}

// Empty reports whether nothing was produced.
func (t *Transcript) Empty() bool { return t.tokens == 0 && !t.broken }

// Finished reports whether every token of the answer came, though perhaps not
// the end of the stream.
func (t *Transcript) Finished() bool { return t.finished && !t.broken }

// Resumable reports whether another run can go on from here.
func (t *Transcript) Resumable() bool { return !t.broken }

// Text returns what was produced and its tokens.
func (t *Transcript) Text() (string, int) { return t.text.String(), t.tokens }

// streamBody returns the body of the call that asks the engine to stream
// model's answer to r from where t stands.
func streamBody(r *request.Request, t *Transcript) ([]byte, *result.Error) {
	edits := []struct {
		path  string
		value any
	}{
		{"model", r.Model()},
		{"stream", true},
		{"stream_options", map[string]bool{"include_usage": true}},
	}
	body := r.Body()
	var err error
	for _, edit := range edits {
		if body, err = sjson.SetBytes(body, edit.path, edit.value); err != nil {
			return nil, result.New(result.MalformedJSON, "%v", err)
		}
	}
	if t.tokens == 0 {
		return body, nil
	}
	if body, err = resumeBody(body, t); err != nil {
		return nil, result.New(result.MalformedJSON, "%v", err)
	}
	return body, nil
}

func resumeBody(body []byte, t *Transcript) ([]byte, error) {
	var err error
	for _, path := range tokenLimits {
		limit := gjson.GetBytes(body, path)
		if !limit.Exists() {
			continue
		}
		if body, err = sjson.SetBytes(body, path, max(1, limit.Int()-int64(t.tokens))); err != nil {
			return nil, err
		}
	}
	if prompt := gjson.GetBytes(body, "prompt"); prompt.Exists() {
		return sjson.SetBytes(body, "prompt", prompt.String()+t.text.String())
	}
	message := map[string]string{"role": "assistant", "content": t.text.String()}
	if body, err = sjson.SetBytes(body, "messages.-1", message); err != nil {
		return nil, err
	}
	if body, err = sjson.SetBytes(body, "add_generation_prompt", false); err != nil {
		return nil, err
	}
	return sjson.SetBytes(body, "continue_final_message", true)
}

// tokenLimits are the fields that bound the length of an answer.
var tokenLimits = []string{"max_tokens", "max_completion_tokens"}

// LimitReached reports whether every token that the body allows was produced though
// the engine's end of the answer is missing. Such a call is resumed for one
// token, which is dropped, to learn the end and the usage.
func (t *Transcript) LimitReached(body []byte) bool {
	for _, path := range tokenLimits {
		limit := gjson.GetBytes(body, path)
		if limit.Exists() && int64(t.tokens) >= limit.Int() {
			return t.tokens > 0
		}
	}
	return false
}

// withoutText empties the text of choice 0.
func withoutText(chunk []byte) []byte {
	for _, path := range []string{"choices.0.delta.content", "choices.0.text"} {
		if gjson.GetBytes(chunk, path).String() == "" {
			continue
		}
		if edited, err := sjson.SetBytes(chunk, path, ""); err == nil {
			chunk = edited
		}
	}
	return chunk
}

// correctUsage counts the resumed tokens of a usage chunk as produced, not as
// prompt; dropped says that one produced token reached nobody.
func correctUsage(chunk []byte, resumed int, dropped bool) []byte {
	if resumed == 0 || !gjson.GetBytes(chunk, "usage.completion_tokens").Exists() {
		return chunk
	}
	extra := int64(0)
	if dropped {
		extra = 1
	}
	changes := map[string]int64{
		"usage.completion_tokens": int64(resumed) - extra,
		"usage.prompt_tokens":     -int64(resumed),
		"usage.total_tokens":      -extra,
	}
	for path, change := range changes {
		value := gjson.GetBytes(chunk, path).Int() + change
		if edited, err := sjson.SetBytes(chunk, path, value); err == nil {
			chunk = edited
		}
	}
	return chunk
}
