package engine

import (
	"strings"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// Transcript holds what an engine has produced for one request so far, from
// which the same or another engine can resume the answer. An answer with several
// choices or with tool calls can't be resumed, only restarted.
type Transcript struct {
	text   strings.Builder
	tokens int
	// unresumable is set once anything but text of choice 0 was received.
	unresumable bool
	// finished is set once the engine sent a finish reason.
	finished bool
}

// NewTranscript returns a transcript with the text that r resumes from, if any.
func NewTranscript(r *request.Request) *Transcript {
	t := new(Transcript)
	text, tokens := r.Resume()
	t.text.WriteString(text)
	t.tokens = tokens
	return t
}

// Add appends one chunk of the stream and returns the number of tokens in it.
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
		t.unresumable = true
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
func (t *Transcript) Empty() bool { return t.tokens == 0 && !t.unresumable }

// Finished reports whether every token of the answer was received, though
// perhaps not the end of the stream.
func (t *Transcript) Finished() bool { return t.finished && !t.unresumable }

// Resumable reports whether another attempt can continue from this transcript.
func (t *Transcript) Resumable() bool { return !t.unresumable }

// Text returns the text produced and its number of tokens.
func (t *Transcript) Text() (string, int) { return t.text.String(), t.tokens }

// streamBody returns the body of the call that asks the engine to stream the
// answer to r, resuming after what t holds.
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

// resumeBody adds the text of t to the prompt or the messages and lowers the
// token limits by the tokens already produced.
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

// tokenLimits lists the fields that bound the length of an answer.
var tokenLimits = []string{"max_tokens", "max_completion_tokens"}

// LimitReached reports whether every token that the body allows has been produced. If
// the engine's end of the answer is missing then, the call is resumed for one
// token, which is dropped, to receive the end of the stream and the usage.
func (t *Transcript) LimitReached(body []byte) bool {
	for _, path := range tokenLimits {
		limit := gjson.GetBytes(body, path)
		if limit.Exists() && int64(t.tokens) >= limit.Int() {
			return t.tokens > 0
		}
	}
	return false
}

// clearText empties the text of choice 0.
func clearText(chunk []byte) []byte {
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

// correctUsage changes a usage chunk so that the resumed tokens count as
// completion tokens instead of prompt tokens. dropped means that one token of
// this attempt was discarded and must not count.
func correctUsage(chunk []byte, resumed int, dropped bool) []byte {
	if resumed == 0 || !gjson.GetBytes(chunk, "usage.completion_tokens").Exists() {
		return chunk
	}
	droppedTokens := int64(0)
	if dropped {
		droppedTokens = 1
	}
	changes := map[string]int64{
		"usage.completion_tokens": int64(resumed) - droppedTokens,
		"usage.prompt_tokens":     -int64(resumed),
		"usage.total_tokens":      -droppedTokens,
	}
	for path, change := range changes {
		value := gjson.GetBytes(chunk, path).Int() + change
		if edited, err := sjson.SetBytes(chunk, path, value); err == nil {
			chunk = edited
		}
	}
	return chunk
}
