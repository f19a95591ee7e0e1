package routecheck

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
)

// Difference is one thing that a configuration changes.
type Difference struct {
	// Subject is the route, service or organisation that differs.
	Subject string `json:"subject"`
	// Change is what happens to it, with the values before and after.
	Change string `json:"change"`
}

// Compare returns what differs in a configuration from the one in force. Keys are
// counted, never shown.
func Compare(inForce, next *routes.Config) []Difference {
	var list []Difference
	add := func(subject, format string, args ...any) {
		list = append(list, Difference{subject, fmt.Sprintf(format, args...)})
	}
	if next.Version() <= inForce.Version() {
		add("version", "%d is not higher than %d, which stays in force", next.Version(), inForce.Version())
	}
	compareNamed(add, "route", byName(inForce.Routes(), func(r *routes.Route) string { return r.Name }), byName(next.Routes(), func(r *routes.Route) string { return r.Name }))
	compareNamed(add, "service", byName(inForce.Services(), func(s routes.Service) string { return s.Name }), byName(next.Services(), func(s routes.Service) string { return s.Name }))
	compareNamed(add, "organisation", byName(inForce.Organisations(), func(o *routes.Organisation) string { return o.Name }), byName(next.Organisations(), func(o *routes.Organisation) string { return o.Name }))
	for _, o := range next.Organisations() {
		if added, removed := next.KeyChanges(inForce, o.Name); added+removed > 0 {
			add("organisation "+o.Name, "%d keys added, %d removed", added, removed)
		}
	}
	compareFields(add, "limits", inForce.Limits(), next.Limits())
	return list
}

func byName[T any](list []T, name func(T) string) map[string]T {
	named := make(map[string]T, len(list))
	for _, e := range list {
		named[name(e)] = e
	}
	return named
}

// compareNamed compares the entries of two lists by their names.
func compareNamed[T any](add func(subject, format string, args ...any), kind string, before, after map[string]T) {
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		old, had := before[name]
		entry, has := after[name]
		switch subject := kind + " " + name; {
		case !has:
			add(subject, "removed")
		case !had:
			add(subject, "added")
		default:
			compareFields(add, subject, old, entry)
		}
	}
}

// compareFields adds a difference for each field of a struct, or of what a pointer points
// to, that differs.
func compareFields(add func(subject, format string, args ...any), subject string, before, after any) {
	old, entry := reflect.Indirect(reflect.ValueOf(before)), reflect.Indirect(reflect.ValueOf(after))
	for i := range old.NumField() {
		if a, b := old.Field(i).Interface(), entry.Field(i).Interface(); !reflect.DeepEqual(a, b) {
			add(subject, "%s: %v, was %v", old.Type().Field(i).Name, b, a)
		}
	}
}
