package revision

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// maxEffects bounds the sentences on one change.
const maxEffects = 100

// DescribeChange says in sentences what a change from before to after does, the
// gravest first; before is nil for the first text.
func DescribeChange(before, after *services.Text) []string {
	if before == nil {
		return []string{"this is the first services text"}
	}
	e := &effects{before: before, after: after}
	e.lostBackends()
	e.lostAccess()
	e.named("service", names(before.Services()), names(after.Services()))
	e.named("back end", names(before.Backends()), names(after.Backends()))
	compareFields(e, "organisation", before.Organisations(), after.Organisation)
	compareFields(e, "service", before.Services(), after.Service)
	compareFields(e, "back end", before.Backends(), after.Backend)
	if len(e.sentences) > maxEffects {
		more := len(e.sentences) - maxEffects
		e.sentences = append(e.sentences[:maxEffects], fmt.Sprintf("and %d more", more))
	}
	return e.sentences
}

type effects struct {
	before, after *services.Text
	sentences     []string
}

func (e *effects) say(format string, args ...any) {
	e.sentences = append(e.sentences, fmt.Sprintf(format, args...))
}

// lostBackends names the services that had a back end and have none.
func (e *effects) lostBackends() {
	var lost []string
	for i := range e.after.Services() {
		s := &e.after.Services()[i]
		old, ok := e.before.Service(s.Name)
		if ok && len(e.before.ServingBackends(old)) > 0 && len(e.after.ServingBackends(s)) == 0 {
			lost = append(lost, s.Name)
		}
	}
	switch len(lost) {
	case 0:
	case 1:
		e.say("service %s loses its last back end", lost[0])
	default:
		e.say("these %d services lose their last back end: %s", len(lost), strings.Join(lost, ", "))
	}
}

// lostAccess names the organisations that can do less than before.
func (e *effects) lostAccess() {
	for i := range e.before.Organisations() {
		old := &e.before.Organisations()[i]
		now, ok := e.after.Organisation(old.Name)
		if !ok {
			e.say("organisation %s loses access", old.Name)
			continue
		}
		if old.Operator && !now.Operator {
			e.say("organisation %s may no longer change the services text", old.Name)
		}
		e.lostTokens(old, now)
		e.lostServices(old, now)
	}
	e.named("organisation", nil, missing(names(e.after.Organisations()), names(e.before.Organisations())))
}

func (e *effects) lostTokens(old, now *services.Organisation) {
	if gone := missing(old.TokenHashes, now.TokenHashes); len(gone) > 0 {
		e.say("%d of %d tokens of organisation %s stop working", len(gone), len(old.TokenHashes), old.Name)
	}
}

func (e *effects) lostServices(old, now *services.Organisation) {
	if len(now.Services) == 0 {
		return
	}
	var lost []string
	for _, s := range e.after.Services() {
		if _, had := e.before.Service(s.Name); had && old.Allows(s.Name) && !now.Allows(s.Name) {
			lost = append(lost, s.Name)
		}
	}
	if len(lost) > 0 {
		e.say("organisation %s may no longer call %s", old.Name, strings.Join(lost, ", "))
	}
}

// named says which names went and which came.
func (e *effects) named(kind string, before, after []string) {
	if gone := missing(before, after); len(gone) > 0 {
		e.say("removed %s: %s", kind, strings.Join(gone, ", "))
	}
	if added := missing(after, before); len(added) > 0 {
		e.say("added %s: %s", kind, strings.Join(added, ", "))
	}
}

// missing returns what of a is not in b.
func missing(a, b []string) []string {
	in := make(map[string]bool, len(b))
	for _, name := range b {
		in[name] = true
	}
	var gone []string
	for _, name := range a {
		if !in[name] {
			gone = append(gone, name)
		}
	}
	return gone
}

func names[T any](list []T) []string {
	all := make([]string, len(list))
	for i := range list {
		all[i] = reflect.ValueOf(&list[i]).Elem().FieldByName("Name").String()
	}
	return all
}

// compareFields says which fields of the entries that stay have changed.
func compareFields[T any](e *effects, kind string, before []T, find func(string) (*T, bool)) {
	t := reflect.TypeFor[T]()
	for i := range before {
		old := reflect.ValueOf(&before[i]).Elem()
		name := old.FieldByName("Name").String()
		entry, ok := find(name)
		if !ok {
			continue
		}
		now := reflect.ValueOf(entry).Elem()
		for j := range t.NumField() {
			field, _, _ := strings.Cut(t.Field(j).Tag.Get("json"), ",")
			if field == "token_sha256" || reflect.DeepEqual(old.Field(j).Interface(), now.Field(j).Interface()) {
				continue
			}
			e.say("%s %s: %s %v becomes %v", kind, name, field, old.Field(j).Interface(), now.Field(j).Interface())
		}
	}
}
