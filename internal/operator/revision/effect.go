package revision

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// maxEffects limits the sentences that describe one change.
const maxEffects = 100

// DescribeChange describes in sentences what a change from before to after does,
// the most severe effects first; before is nil for the first text.
func DescribeChange(before, after *services.Text) []string {
	if before == nil {
		return []string{"this is the first services text"}
	}
	e := &effectList{before: before, after: after}
	e.addLostBackends()
	e.addLostAccess()
	e.addNameChanges("service", entryNames(before.Services()), entryNames(after.Services()))
	e.addNameChanges("back end", entryNames(before.Backends()), entryNames(after.Backends()))
	addFieldChanges(e, "organisation", before.Organisations(), after.Organisation)
	addFieldChanges(e, "service", before.Services(), after.Service)
	addFieldChanges(e, "back end", before.Backends(), after.Backend)
	if len(e.sentences) > maxEffects {
		omitted := len(e.sentences) - maxEffects
		e.sentences = append(e.sentences[:maxEffects], fmt.Sprintf("and %d more", omitted))
	}
	return e.sentences
}

// effectList collects the sentences that describe a change.
type effectList struct {
	before, after *services.Text
	sentences     []string
}

func (e *effectList) addf(format string, args ...any) {
	e.sentences = append(e.sentences, fmt.Sprintf(format, args...))
}

// addLostBackends reports the services that lose their last backend server.
func (e *effectList) addLostBackends() {
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
		e.addf("service %s loses its last back end", lost[0])
	default:
		e.addf("these %d services lose their last back end: %s", len(lost), strings.Join(lost, ", "))
	}
}

// addLostAccess reports the organisations that lose permissions, and those that
// are added.
func (e *effectList) addLostAccess() {
	for i := range e.before.Organisations() {
		old := &e.before.Organisations()[i]
		updated, ok := e.after.Organisation(old.Name)
		if !ok {
			e.addf("organisation %s loses access", old.Name)
			continue
		}
		if old.Operator && !updated.Operator {
			e.addf("organisation %s may no longer change the services text", old.Name)
		}
		e.addLostTokens(old, updated)
		e.addLostServices(old, updated)
	}
	e.addNameChanges("organisation", nil, subtract(entryNames(e.after.Organisations()), entryNames(e.before.Organisations())))
}

func (e *effectList) addLostTokens(old, updated *services.Organisation) {
	if removed := subtract(old.TokenHashes, updated.TokenHashes); len(removed) > 0 {
		e.addf("%d of %d tokens of organisation %s stop working", len(removed), len(old.TokenHashes), old.Name)
	}
}

func (e *effectList) addLostServices(old, updated *services.Organisation) {
	if len(updated.Services) == 0 {
		return
	}
	var lost []string
	for _, s := range e.after.Services() {
		if _, existed := e.before.Service(s.Name); existed && old.Allows(s.Name) && !updated.Allows(s.Name) {
			lost = append(lost, s.Name)
		}
	}
	if len(lost) > 0 {
		e.addf("organisation %s may no longer call %s", old.Name, strings.Join(lost, ", "))
	}
}

// addNameChanges reports the names that were removed and added.
func (e *effectList) addNameChanges(kind string, before, after []string) {
	if removed := subtract(before, after); len(removed) > 0 {
		e.addf("removed %s: %s", kind, strings.Join(removed, ", "))
	}
	if added := subtract(after, before); len(added) > 0 {
		e.addf("added %s: %s", kind, strings.Join(added, ", "))
	}
}

// subtract returns the elements of a that are not in b.
func subtract(a, b []string) []string {
	present := make(map[string]bool, len(b))
	for _, name := range b {
		present[name] = true
	}
	var difference []string
	for _, name := range a {
		if !present[name] {
			difference = append(difference, name)
		}
	}
	return difference
}

func entryNames[T any](list []T) []string {
	all := make([]string, len(list))
	for i := range list {
		all[i] = reflect.ValueOf(&list[i]).Elem().FieldByName("Name").String()
	}
	return all
}

// addFieldChanges reports the changed fields of the entries that exist before and
// after. Token hashes are left out; addLostTokens reports lost ones.
func addFieldChanges[T any](e *effectList, kind string, before []T, lookup func(string) (*T, bool)) {
	t := reflect.TypeFor[T]()
	for i := range before {
		old := reflect.ValueOf(&before[i]).Elem()
		name := old.FieldByName("Name").String()
		entry, ok := lookup(name)
		if !ok {
			continue
		}
		updated := reflect.ValueOf(entry).Elem()
		for j := range t.NumField() {
			field, _, _ := strings.Cut(t.Field(j).Tag.Get("json"), ",")
			if field == "token_sha256" || reflect.DeepEqual(old.Field(j).Interface(), updated.Field(j).Interface()) {
				continue
			}
			e.addf("%s %s: %s %v becomes %v", kind, name, field, old.Field(j).Interface(), updated.Field(j).Interface())
		}
	}
}
