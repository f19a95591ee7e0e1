package item_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/batch/item"
)

// FuzzParse checks that an accepted line keeps its body byte for byte and that
// a refusal says that nothing ran.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m"}}`))
	f.Add([]byte(`{"custom_id":"","method":"POST","url":"/v1/completions","body":{}}`))
	f.Add([]byte(`{"custom_id":"a","method":"GET","url":"/v1/completions","body":{}}`))
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/etc","body":{}}`))
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/x","body":[]}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, line []byte) {
		i, failure := item.Parse(line, 1)
		if failure != nil {
			if failure.Ran() != "no" {
				t.Fatalf("refusal says ran %q", failure.Ran())
			}
			return
		}
		if i.CustomID() == "" || i.Method() != "POST" || !json.Valid(i.Body()) || !bytes.Contains(line, i.Body()) {
			t.Fatalf("accepted %q as %+v", line, i)
		}
	})
}
