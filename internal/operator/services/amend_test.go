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

// organisation draws one organisation, now and then a wrong one.
func organisation(t *rapid.T) string {
	fields := []string{
		fmt.Sprintf(`"name": "o%d"`, rapid.IntRange(0, 6).Draw(t, "name")),
		fmt.Sprintf(`"token_sha256": ["%x"]`, sha256.Sum256([]byte{byte(rapid.IntRange(0, 9).Draw(t, "token"))})),
	}
	for _, more := range []string{`"share": 3`, `"share": -1`, `"services": ["a"]`, `"services": ["ghost"]`, `"operator": true`, `"colour": 1`, `"concurrency": 4`, `"x`} {
		if rapid.IntRange(0, 5).Draw(t, more) == 0 {
			fields = append(fields, more)
		}
	}
	return "{" + strings.Join(fields, rapid.SampledFrom([]string{", ", ",\n  "}).Draw(t, "gap")) + "}"
}

func documentOf(organisations []string) string {
	return `{"organisations": [` + strings.Join(organisations, ",\n") + `],
 "services": [{"name": "a", "kind": "engine", "model": "m", "urgency": "online", "weight": 1, "idempotent": true, "durable": false}],
 "backends": [{"name": "e", "kind": "engine", "zone": "z", "address": "10.0.0.1:80", "models": ["m"]}]}`
}

// same reports whether two texts answer alike.
func same(a, b *services.Text) bool {
	if a.Revision() != b.Revision() || string(a.Source()) != string(b.Source()) ||
		!reflect.DeepEqual(a.Organisations(), b.Organisations()) || !reflect.DeepEqual(a.Warnings(), b.Warnings()) ||
		!reflect.DeepEqual(a.Services(), b.Services()) || !reflect.DeepEqual(a.Backends(), b.Backends()) {
		return false
	}
	for i := range 10 {
		for _, key := range []string{fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i)})), fmt.Sprintf("o%d", i)} {
			ownerA, okA := a.Authenticate(key)
			ownerB, okB := b.Authenticate(key)
			namedA, thereA := a.Organisation(key)
			namedB, thereB := b.Organisation(key)
			if okA != okB || thereA != thereB || !reflect.DeepEqual(ownerA, ownerB) || !reflect.DeepEqual(namedA, namedB) {
				return false
			}
		}
	}
	return true
}

var _ = Describe("an amended text", func() {
	It("is what a parse of the whole gives, over a chain of changes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := []string{fmt.Sprintf(`{"name": "op", "token_sha256": ["%s"], "operator": true}`, strings.Repeat("f", 64))}
			for i := range rapid.IntRange(0, 4).Draw(t, "organisations") {
				list = append(list, fmt.Sprintf(`{"name": "o%d", "token_sha256": ["%x"]}`, i, sha256.Sum256([]byte{byte(i)})))
			}
			text, err := services.Parse([]byte(documentOf(list)), 1)
			if err != nil {
				t.Fatal(err)
			}
			for revision := int64(2); revision < 6; revision++ {
				next := append([]string(nil), list...)
				i := rapid.IntRange(0, len(next)-1).Draw(t, "changed")
				next[i] = organisation(t)
				source := []byte(documentOf(next))
				want, wantErr := services.Parse(source, revision)
				got, gotErr := services.ParseIncremental(text, source, revision)
				if fmt.Sprint(wantErr) != fmt.Sprint(gotErr) {
					t.Fatalf("amend says %v, parse %v", gotErr, wantErr)
				}
				if wantErr != nil {
					continue
				}
				if !same(got, want) {
					t.Fatalf("amend gives %+v, parse %+v", got, want)
				}
				text, list = got, next
			}
		})
	})
})

// BenchmarkAmend measures one changed organisation in a text of many.
func BenchmarkAmend(b *testing.B) {
	for _, n := range []int{1000, 10_000, 44_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			source := textOf(n)
			text, err := services.Parse(source, 1)
			if err != nil {
				b.Fatal(err)
			}
			at := bytes.Index(source, fmt.Appendf(nil, "organisation-%05d", n/2))
			at += bytes.Index(source[at:], []byte(`concurrency": 1`)) + len(`concurrency": `)
			for i := int64(2); b.Loop(); i++ {
				changed := bytes.Clone(source)
				changed[at] = byte('1' + i%9)
				if text, err = services.ParseIncremental(text, changed, i); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
