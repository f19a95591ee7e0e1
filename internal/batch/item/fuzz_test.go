package item_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/batch/item"
)

// FuzzParse checks that Parse keeps the body of an accepted line byte for byte
// and that its errors say that nothing was run.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m"}}`))
	f.Add([]byte(`{"custom_id":"","method":"POST","url":"/v1/completions","body":{}}`))
	f.Add([]byte(`{"custom_id":"a","method":"GET","url":"/v1/completions","body":{}}`))
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/etc","body":{}}`))
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/x","body":[]}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, line []byte) {
		parsed, failure := item.Parse(line, 1)
		if failure != nil {
			if failure.Ran() != "no" {
				t.Fatalf("error says that the item ran: %q", failure.Ran())
			}
			return
		}
		if parsed.CustomID() == "" || parsed.Method() != "POST" || !json.Valid(parsed.Body()) || !bytes.Contains(line, parsed.Body()) {
			t.Fatalf("accepted %q as %+v", line, parsed)
		}
	})
}
