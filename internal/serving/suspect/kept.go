package suspect

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// KeptKey is the store key of the records that outlive the hosts. All hosts write it,
// each after it has merged what it holds.
const KeptKey = "suspects/records"

// maxSteps bounds the steps of a report. From far fewer on, items rest for maxItemRest.
const maxSteps = 1 << 10

// maxKept bounds the records in the store.
const maxKept = 256

// keptRecords is the stored form of records. Builds ignore fields that they don't
// know, and those from before it neither read nor write the key.
type keptRecords struct {
	Records []keptRecord `json:"records"`
}

// keptRecord is the stored form of a Report.
type keptRecord struct {
	Part    string   `json:"part"`
	Depth   int      `json:"depth"`
	Version uint32   `json:"version"`
	Servers []string `json:"servers,omitempty"`
	// Runs is how far runs with the part got at the servers, in the same order. Builds
	// before it neither write nor read it.
	Runs []keptRun `json:"runs,omitempty"`
	// Steps is 0 if a build before it wrote the record.
	Steps  int `json:"steps,omitempty"`
	Trials int `json:"trials"`
	// ExpiresMs is the time of day at which the record is dropped, in Unix
	// milliseconds.
	ExpiresMs int64 `json:"expires_ms"`
}

// keptRun is the stored form of a Progress.
type keptRun struct {
	TimeMs int64 `json:"time_ms"`
	Events int   `json:"events"`
	// EndedMs is the time of day at which the run ended, in Unix milliseconds, 0 if it is
	// not known.
	EndedMs int64 `json:"ended_ms,omitempty"`
}

// EncodeKept returns the stored form of reports at a time of day.
func EncodeKept(wall time.Time, reports []Report) ([]byte, error) {
	kept := keptRecords{Records: []keptRecord{}}
	for _, r := range reports {
		var runs []keptRun
		for _, run := range r.Runs {
			k := keptRun{TimeMs: run.Millis(), Events: run.Events}
			if run.Age > 0 {
				k.EndedMs = wall.Add(-run.Age).UnixMilli()
			}
			runs = append(runs, k)
		}
		kept.Records = append(kept.Records, keptRecord{r.Part, r.Depth, r.Version, r.Servers, runs, r.Steps, r.Trials, wall.Add(r.ExpiresIn).UnixMilli()})
	}
	data, err := json.Marshal(kept)
	return data, trace.Wrap(err)
}

// DecodeKept is the reverse of EncodeKept.
func DecodeKept(wall time.Time, data []byte) ([]Report, error) {
	var kept keptRecords
	if err := json.Unmarshal(data, &kept); err != nil {
		return nil, trace.BadParameter("records of crashing parts: %v", err)
	}
	var reports []Report
	for _, r := range kept.Records[:min(len(kept.Records), maxKept)] {
		report := Report{Part: r.Part, Depth: r.Depth, Version: r.Version, Servers: r.Servers, Steps: min(max(r.Steps, 0), maxSteps), Trials: r.Trials, ExpiresIn: time.UnixMilli(r.ExpiresMs).Sub(wall)}
		for _, run := range r.Runs {
			p := Progress{Time: time.Duration(run.TimeMs) * time.Millisecond, Events: run.Events}
			if run.EndedMs > 0 {
				p.Age = max(1, wall.Sub(time.UnixMilli(run.EndedMs)))
			}
			report.Runs = append(report.Runs, p)
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// MergeKept is Merge for the records that the store keeps.
func (g *Registry) MergeKept(now time.Time, reports []Report) bool {
	changed := g.Merge(now, reports)
	for _, in := range reports {
		if r := g.lookup(now, in.Part); r != nil {
			r.kept = true
		}
	}
	return changed
}

// TakeUnsaved reports whether a record that the store keeps has changed here since
// the last call.
func (g *Registry) TakeUnsaved() bool {
	unsaved := g.unsaved
	g.unsaved = false
	return unsaved
}

// Kept returns the records that the store is to keep: those of at least keptServers
// servers, and the withdrawals of records that it has.
func (g *Registry) Kept(now time.Time) []Report {
	list := g.list(now, func(r *Record) bool { return r.kept || len(r.Servers) >= keptServers })
	slices.SortStableFunc(list, func(a, b Record) int { return cmp.Compare(b.importance(), a.importance()) })
	list = list[:min(maxKept, len(list))]
	reports := make([]Report, len(list))
	for i := range list {
		g.records[list[i].Part].kept = true
		reports[i] = list[i].report(now)
	}
	return reports
}

// errTrialTaken means that another host sent a trial, or sends it, or that the part has
// been accused anew.
var errTrialTaken = errors.New("another host claimed it, or the record is another one")

// Claim returns the records that the store is to keep for the claim of a trial, after
// it has merged those that it keeps. There are none if the part is no longer condemned
// and its requests need no trial. It returns an error if the trial can't be claimed.
func (g *Registry) Claim(now time.Time, stored []Report, trial Record) ([]Report, error) {
	g.MergeKept(now, stored)
	r := g.lookup(now, trial.Part)
	switch {
	case r == nil || !r.condemned:
		return nil, nil
	case r.Version != trial.Version || r.Trials >= trial.Trials:
		return nil, errTrialTaken
	}
	reports := g.Kept(now)
	for i := range reports {
		if reports[i].Part == trial.Part {
			reports[i].Trials = trial.Trials
		}
	}
	return reports, nil
}

// SameReports reports whether two lists name the same records, apart from when these
// expire.
func SameReports(a, b []Report) bool {
	if len(a) != len(b) {
		return false
	}
	byPart := make(map[string]Report, len(b))
	for _, r := range b {
		byPart[r.Part] = r
	}
	for _, r := range a {
		o, ok := byPart[r.Part]
		if !ok || r.Version != o.Version || r.Trials != o.Trials || len(r.Servers) != len(o.Servers) {
			return false
		}
		for _, s := range r.Servers {
			if !slices.Contains(o.Servers, s) {
				return false
			}
		}
	}
	return true
}
