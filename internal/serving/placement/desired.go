package placement

import (
	"slices"
	"strings"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// Engine is one engine of the zone and what it should hold.
type Engine struct {
	Name string
	// ChecksFencing says that it refuses orders with an old fencing number.
	ChecksFencing bool
	// Desired holds artifact ids, sorted.
	Desired []string
	// Models are the models that may be ordered away from it.
	Models []string
}

// ArtifactID returns the id of what a service needs: the model, "+" and its adapter,
// "@" and its version, as far as it names them.
func ArtifactID(s *services.Service) string {
	id := s.Model
	if s.Adapter != "" {
		id += "+" + s.Adapter
	}
	if s.Version != "" {
		id += "@" + s.Version
	}
	return id
}

// line is an id without its version: versions of one line replace each other.
func line(id string) string {
	before, _, _ := strings.Cut(id, "@")
	return before
}

// model is the model of an id.
func model(id string) string {
	before, _, _ := strings.Cut(line(id), "+")
	return before
}

// DesiredState returns the engines of a zone with what the text wants them to hold:
// all that the services on their models need. Engines that leave are left as
// they are.
func DesiredState(text *services.Text, zone string) []Engine {
	needs := make(map[string][]string)
	for i := range text.Services() {
		s := &text.Services()[i]
		if s.Kind == services.EngineKind && !slices.Contains(needs[s.Model], ArtifactID(s)) {
			needs[s.Model] = append(needs[s.Model], ArtifactID(s))
		}
	}
	var engines []Engine
	for _, b := range text.Backends() {
		if b.Kind != services.EngineKind || b.Zone != zone || b.Leaving {
			continue
		}
		e := Engine{Name: b.Name, ChecksFencing: b.ChecksFencing, Models: b.Models}
		for _, m := range b.Models {
			e.Desired = append(e.Desired, needs[m]...)
		}
		slices.Sort(e.Desired)
		engines = append(engines, e)
	}
	return engines
}
