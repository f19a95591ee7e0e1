package services_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// generateOrganisation generates an organisation that is sometimes invalid.
func generateOrganisation(t *rapid.T) string {
	fields := []string{
		fmt.Sprintf(`"name": "o%d"`, rapid.IntRange(0, 6).Draw(t, "name")),
		fmt.Sprintf(`"token_sha256": ["%x"]`, sha256.Sum256([]byte{byte(rapid.IntRange(0, 9).Draw(t, "token"))})),
	}
	for _, field := range []string{`"share": 3`, `"share": -1`, `"services": ["a"]`, `"services": ["ghost"]`, `"operator": true`, `"colour": 1`, `"concurrency": 4`, `"x`} {
		if rapid.IntRange(0, 5).Draw(t, field) == 0 {
			fields = append(fields, field)
		}
	}
	return "{" + strings.Join(fields, rapid.SampledFrom([]string{", ", ",\n  "}).Draw(t, "gap")) + "}"
}

func newDocument(organisations []string) string {
	return `{"organisations": [` + strings.Join(organisations, ",\n") + `],
 "services": [{"name": "a", "kind": "engine", "model": "m", "urgency": "online", "weight": 1, "idempotent": true, "durable": false}],
 "backends": [{"name": "e", "kind": "engine", "zone": "z", "address": "10.0.0.1:80", "models": ["m"]}]}`
}

// equalTexts reports whether two texts return the same values and look-ups.
func equalTexts(a, b *services.Text) bool {
	if a.Revision() != b.Revision() || string(a.Source()) != string(b.Source()) ||
		!reflect.DeepEqual(a.Organisations(), b.Organisations()) || !reflect.DeepEqual(a.Warnings(), b.Warnings()) ||
		!reflect.DeepEqual(a.Services(), b.Services()) || !reflect.DeepEqual(a.Backends(), b.Backends()) {
		return false
	}
	for i := range 10 {
		for _, key := range []string{fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i)})), fmt.Sprintf("o%d", i)} {
			ownerA, okA := a.Authenticate(key)
			ownerB, okB := b.Authenticate(key)
			namedA, foundA := a.Organisation(key)
			namedB, foundB := b.Organisation(key)
			if okA != okB || foundA != foundB || !reflect.DeepEqual(ownerA, ownerB) || !reflect.DeepEqual(namedA, namedB) {
				return false
			}
		}
	}
	return true
}

var _ = Describe("an amended text", func() {
	It("equals a full parse after each of several changes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := []string{fmt.Sprintf(`{"name": "op", "token_sha256": ["%s"], "operator": true}`, strings.Repeat("f", 64))}
			for i := range rapid.IntRange(0, 4).Draw(t, "organisations") {
				list = append(list, fmt.Sprintf(`{"name": "o%d", "token_sha256": ["%x"]}`, i, sha256.Sum256([]byte{byte(i)})))
			}
			text, err := services.Parse([]byte(newDocument(list)), 1)
			if err != nil {
				t.Fatal(err)
			}
			for revision := int64(2); revision < 6; revision++ {
				next := append([]string(nil), list...)
				i := rapid.IntRange(0, len(next)-1).Draw(t, "changed")
				next[i] = generateOrganisation(t)
				source := []byte(newDocument(next))
				want, wantErr := services.Parse(source, revision)
				got, gotErr := services.ParseIncremental(text, source, revision)
				if fmt.Sprint(wantErr) != fmt.Sprint(gotErr) {
					t.Fatalf("ParseIncremental returned error %v, Parse %v", gotErr, wantErr)
				}
				if wantErr != nil {
					continue
				}
				if !equalTexts(got, want) {
					t.Fatalf("ParseIncremental returned %+v, Parse %+v", got, want)
				}
				text, list = got, next
			}
		})
	})
})

// BenchmarkAmend measures a change of one organisation by the number of
// organisations in the text.
func BenchmarkAmend(b *testing.B) {
	for _, n := range []int{1000, 10_000, 44_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			source := newSource(n)
			text, err := services.Parse(source, 1)
			if err != nil {
				b.Fatal(err)
			}
			offset := bytes.Index(source, fmt.Appendf(nil, "organisation-%05d", n/2))
			offset += bytes.Index(source[offset:], []byte(`concurrency": 1`)) + len(`concurrency": `)
			for i := int64(2); b.Loop(); i++ {
				changed := bytes.Clone(source)
				changed[offset] = byte('1' + i%9)
				if text, err = services.ParseIncremental(text, changed, i); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
