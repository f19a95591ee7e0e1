package setup

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Entry are the settings of a host that the platform runs. Unknown fields are
// ignored, since the platform fills the file in.
type Entry struct {
	// Name is unique in the deployment and stays the same over restarts.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// CallerAddress is where callers come in, ReadyAddress where the platform
	// asks whether they may; both IP:PORT, both empty on a disk host.
	CallerAddress string `json:"caller_address"`
	ReadyAddress  string `json:"ready_address"`
	// PeerAddress is where other hosts come in, by TCP and UDP.
	PeerAddress string `json:"peer_address"`
	// MetricsAddress is where metrics are read; empty for none.
	MetricsAddress string `json:"metrics_address"`
	// Seeds are the peer addresses of some entry hosts, which may be down.
	Seeds []string `json:"seeds"`
	// StoreAddress is the platform's store, IP:PORT.
	StoreAddress string `json:"store_address"`
	// MemoryMB is the memory that the process may take.
	MemoryMB int `json:"memory_mb"`
	// GraceSeconds is the time from the word to stop to the kill.
	GraceSeconds float64 `json:"grace_seconds"`
	// LogLines bounds the log lines a second; 0 for the default.
	LogLines int `json:"log_lines"`
}

// defaultGraceSeconds is used if the settings give none.
const defaultGraceSeconds = 8

// ParseEntry checks the JSON form of settings; the error names line, field and
// remedy. disk says that they are a disk host's.
func ParseEntry(source []byte, disk bool) (*Entry, error) {
	e := new(Entry)
	decoder := json.NewDecoder(bytes.NewReader(source))
	if err := decoder.Decode(e); err != nil {
		return nil, decodeError(source, decoder.InputOffset(), err)
	}
	if e.GraceSeconds == 0 {
		e.GraceSeconds = defaultGraceSeconds
	}
	checks := []struct {
		field, fault, remedy string
		bad                  bool
	}{
		{"name", "not a name", "write 1 to 64 characters", e.Name == "" || len(e.Name) > 64},
		{"zone", "no availability zone", "name the zone the host stands in", e.Zone == ""},
		{"caller_address", "not an address", "write IP:PORT", !disk && !isAddress(e.CallerAddress)},
		{"ready_address", "not an address", "write IP:PORT", !disk && !isAddress(e.ReadyAddress)},
		{"peer_address", "not an address", "write IP:PORT", !disk && !isAddress(e.PeerAddress)},
		{"metrics_address", "not an address", "write IP:PORT or leave it out", e.MetricsAddress != "" && !isAddress(e.MetricsAddress)},
		{"store_address", "not an address", "write IP:PORT of the platform's store", !isAddress(e.StoreAddress)},
		{"memory_mb", "out of range", "write the megabytes that the process may take, 0 for no bound", e.MemoryMB < 0},
		{"grace_seconds", "out of range", "write 0.5 or more", e.GraceSeconds < 0.5},
		{"log_lines", "out of range", "write 0 for the default or a positive number", e.LogLines < 0},
	}
	for _, c := range checks {
		if c.bad {
			return nil, trace.BadParameter("line %d: %s: %s; %s", lineOf(source, c.field), c.field, c.fault, c.remedy)
		}
	}
	return e, nil
}
