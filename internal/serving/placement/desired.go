package placement

import (
	"slices"
	"strings"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// Engine is the desired state of one engine of the zone.
type Engine struct {
	Name string
	// ChecksFencing reports whether the engine refuses orders with an old
	// fencing token.
	ChecksFencing bool
	// Desired holds the sorted ids of the artifacts that the engine should hold.
	Desired []string
	// Models holds the models whose artifacts may be unloaded from the engine.
	Models []string
}

// ArtifactID returns the id of the artifact that a service needs, in the form
// MODEL[+ADAPTER][@VERSION].
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

// unversionedID returns an id without its version. Artifacts with the same
// unversioned id replace each other.
func unversionedID(id string) string {
	unversioned, _, _ := strings.Cut(id, "@")
	return unversioned
}

// modelOf returns the model of an id.
func modelOf(id string) string {
	model, _, _ := strings.Cut(unversionedID(id), "+")
	return model
}

// DesiredState returns the desired state of the engines of a zone. An engine
// should hold all artifacts that the services on its models need. Leaving
// engines are omitted, so that they get no orders.
func DesiredState(text *services.Text, zone string) []Engine {
	artifactsByModel := make(map[string][]string)
	for i := range text.Services() {
		s := &text.Services()[i]
		if s.Kind == services.EngineKind && !slices.Contains(artifactsByModel[s.Model], ArtifactID(s)) {
			artifactsByModel[s.Model] = append(artifactsByModel[s.Model], ArtifactID(s))
		}
	}
	var engines []Engine
	for _, b := range text.Backends() {
		if b.Kind != services.EngineKind || b.Zone != zone || b.Leaving {
			continue
		}
		e := Engine{Name: b.Name, ChecksFencing: b.ChecksFencing, Models: b.Models}
		for _, m := range b.Models {
			e.Desired = append(e.Desired, artifactsByModel[m]...)
		}
		slices.Sort(e.Desired)
		engines = append(engines, e)
	}
	return engines
}
