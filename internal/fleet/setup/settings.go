// Package setup parses and checks the settings of a process: a JSON file with
// the host's name, zone and addresses, and the address of the platform.
// Everything else is read from the platform's store: the services text or, on
// hosts with Entry settings, the configuration and the list of backend servers.
package setup

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Settings holds what a process reads at its start: its own name, zone and
// addresses, and the address of the platform.
type Settings struct {
	// Name is unique in the deployment and stays the same over restarts.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// CallerAddress accepts callers and operators, PeerAddress other hosts; both
	// IP:PORT.
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	// StoreAddress is the platform's store, IP:PORT.
	StoreAddress string `json:"store_address"`
	// HostListURL is the platform's list of hosts; empty for none.
	HostListURL string `json:"host_list_url,omitempty"`
	// Peers are some peer addresses, so that a host that starts during an outage
	// of the platform can reach the others.
	Peers []string `json:"peers,omitempty"`
	// Shards is the number of record shards; it must be the same on all hosts.
	Shards int `json:"shards,omitempty"`
	// TLS, if set, enables mutual TLS between hosts.
	TLS *TLSFiles `json:"tls,omitempty"`
	// Policy is the order of the queues of the backend servers: "urgent", or
	// "naive" for comparison.
	Policy string `json:"policy,omitempty"`
	// StopSeconds limits the duration of a graceful stop.
	StopSeconds int `json:"stop_seconds,omitempty"`
	// Routing is "balanced", or "round-robin" or "least-loaded" for comparison.
	Routing string `json:"routing,omitempty"`
	// Retries is "budgeted", or "immediate" for comparison.
	Retries string `json:"retries,omitempty"`
	// MemoryMB is the memory that the process may use, MaxDescriptors the number of
	// descriptors; 0 for the defaults.
	MemoryMB       int `json:"memory_mb,omitempty"`
	MaxDescriptors int `json:"max_descriptors,omitempty"`
}

// TLSFiles are the names of PEM files, which are read again when they change.
type TLSFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

const (
	defaultShards      = 16
	maxShards          = 4096
	defaultStopSeconds = 60
)

// The policies of the queues.
const (
	PolicyUrgent = "urgent"
	PolicyNaive  = "naive"
)

// Parse parses and checks settings in JSON. The error names the line, the field
// and a remedy.
func Parse(source []byte) (*Settings, error) {
	s := new(Settings)
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, decodeError(source, decoder.InputOffset(), err)
	}
	if s.Shards == 0 {
		s.Shards = defaultShards
	}
	if s.StopSeconds == 0 {
		s.StopSeconds = defaultStopSeconds
	}
	if s.Policy == "" {
		s.Policy = PolicyUrgent
	}
	return s, s.check(source)
}

func decodeError(source []byte, offset int64, err error) error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	field := "document"
	if errors.As(err, &syntaxErr) {
		offset = syntaxErr.Offset
	}
	if errors.As(err, &typeErr) {
		offset, field = typeErr.Offset, typeErr.Field
	}
	line := 1 + bytes.Count(source[:min(int(offset), len(source))], []byte{'\n'})
	return trace.BadParameter("line %d: %s: %v; see docs/OPERATORS.md", line, field, err)
}

func (s *Settings) check(source []byte) error {
	checks := []struct {
		field, problem, remedy string
		invalid                bool
	}{
		{"name", "not a name", "write 1 to 64 characters without spaces or slashes", s.Name == "" || len(s.Name) > 64 || strings.ContainsAny(s.Name, " /")},
		{"zone", "no availability zone", "name the availability zone of the host", s.Zone == ""},
		{"caller_address", "not an address", "write IP:PORT", !isAddress(s.CallerAddress)},
		{"peer_address", "not an address", "write IP:PORT", !isAddress(s.PeerAddress)},
		{"store_address", "not an address", "write IP:PORT of the platform's store", !isAddress(s.StoreAddress)},
		{"shards", "out of range", "write 1 to 4096, the same on all hosts", s.Shards < 1 || s.Shards > maxShards},
		{"routing", "unknown policy", "write balanced, round-robin or least-loaded", !slices.Contains([]string{"", "balanced", "round-robin", "least-loaded"}, s.Routing)},
		{"retries", "unknown policy", "write budgeted or immediate", !slices.Contains([]string{"", "budgeted", "immediate"}, s.Retries)},
		{"policy", "unknown", "write urgent or naive", s.Policy != PolicyUrgent && s.Policy != PolicyNaive},
		{"memory_mb", "out of range", "write the megabytes that the process may take, 0 for the default", s.MemoryMB < 0},
		{"max_descriptors", "out of range", "write the descriptors that the process may use, 0 for the default", s.MaxDescriptors < 0},
		{"tls", "incomplete", "name certificate, key and authority", s.TLS != nil && (s.TLS.Certificate == "" || s.TLS.Key == "" || s.TLS.Authority == "")},
	}
	for _, c := range checks {
		if c.invalid {
			return trace.BadParameter("line %d: %s: %s; %s", lineOfField(source, c.field), c.field, c.problem, c.remedy)
		}
	}
	return nil
}

func isAddress(text string) bool {
	host, _, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil
}

// lineOfField returns the line of the first occurrence of a field's name, or 1
// if there is none.
func lineOfField(source []byte, field string) int {
	at := bytes.Index(source, fmt.Appendf(nil, "%q", field))
	if at < 0 {
		return 1
	}
	return 1 + bytes.Count(source[:at], []byte{'\n'})
}
