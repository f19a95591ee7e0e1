package setup

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Entry holds the settings of a host that the platform runs, an entry host or a
// disk host. Unknown fields are ignored, since the platform writes the file.
type Entry struct {
	// Name is unique in the deployment and stays the same over restarts.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// CallerAddress accepts callers; ReadyAddress answers the platform's readiness
	// checks. Both are IP:PORT; a disk host needs neither.
	CallerAddress string `json:"caller_address"`
	ReadyAddress  string `json:"ready_address"`
	// PeerAddress accepts other hosts over TCP and UDP, IP:PORT; a disk host needs
	// none.
	PeerAddress string `json:"peer_address"`
	// MetricsAddress serves metrics, IP:PORT; empty for none.
	MetricsAddress string `json:"metrics_address"`
	// Seeds are the peer addresses of some entry hosts, which may be down.
	Seeds []string `json:"seeds"`
	// StoreAddress is the platform's store, IP:PORT.
	StoreAddress string `json:"store_address"`
	// MemoryMB is the memory that the process may use; 0 for no limit.
	MemoryMB int `json:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may use; 0 for the
	// default. It never uses more than the system allows.
	MaxDescriptors int `json:"max_descriptors"`
	// ProcessorShare is the share of a processor core that the process may use; 0
	// if unknown. Hosts with more of it do more of the work for their zone.
	ProcessorShare float64 `json:"processor_share"`
	// GraceSeconds is the time between the stop signal and the kill.
	GraceSeconds float64 `json:"grace_seconds"`
	// JobEndMS is the time in milliseconds after the acknowledgement of a job's end
	// in which its items may still reach a backend server; 0 for the default.
	JobEndMS int `json:"job_end_ms"`
	// LogLines limits the log lines per second; 0 for the default.
	LogLines int `json:"log_lines"`
	// Zones are the availability zones of the deployment; empty if they are not known.
	Zones []string `json:"zones"`
	// StrictRevoke is set if a key must not be served by any host, in touch with the store
	// or not, later than RevokeMS milliseconds after the store acknowledged the
	// configuration that removed it.
	StrictRevoke bool    `json:"strict_revoke"`
	RevokeMS     float64 `json:"revoke_ms"`
	// The limit of an organisation holds in each span of QuotaWindowSeconds. It may be
	// exceeded by the part QuotaOver of it and by QuotaSlack requests.
	QuotaWindowSeconds float64 `json:"quota_window_s"`
	QuotaOver          float64 `json:"quota_over"`
	QuotaSlack         float64 `json:"quota_slack"`
}

const (
	// maxSettingMS is the longest time of a setting that is used in sums of times.
	maxSettingMS = 3600 * 1000
	// defaultGraceSeconds is used if the settings do not set GraceSeconds.
	defaultGraceSeconds = 8
	// defaultRevoke is used if the settings do not set RevokeMS, defaultQuotaWindow if they
	// do not set QuotaWindowSeconds.
	defaultRevoke      = 5 * time.Second
	defaultQuotaWindow = 5 * time.Second
	// defaultJobEnd is used if the settings do not set JobEndMS.
	defaultJobEnd = 3 * time.Second
)

// JobEnd returns the time after the acknowledgement of a job's end in which its
// items may still reach a backend server.
func (e *Entry) JobEnd() time.Duration {
	if e.JobEndMS == 0 {
		return defaultJobEnd
	}
	return time.Duration(e.JobEndMS) * time.Millisecond
}

// Revoke returns for how long after its removal a key may be served.
func (e *Entry) Revoke() time.Duration {
	if e.RevokeMS == 0 {
		return defaultRevoke
	}
	return time.Duration(e.RevokeMS * float64(time.Millisecond))
}

// QuotaWindow returns the span in which the limits of organisations hold.
func (e *Entry) QuotaWindow() time.Duration {
	if e.QuotaWindowSeconds == 0 {
		return defaultQuotaWindow
	}
	return time.Duration(e.QuotaWindowSeconds * float64(time.Second))
}

// ParseEntry parses and checks settings in JSON; disk selects the rules for a
// disk host. The error names the line, the field and a remedy.
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
		field, problem, remedy string
		invalid                bool
	}{
		{"name", "not a name", "write 1 to 64 characters", e.Name == "" || len(e.Name) > 64},
		{"zone", "no availability zone", "name the availability zone of the host", e.Zone == ""},
		{"caller_address", "not an address", "write IP:PORT", !disk && !isAddress(e.CallerAddress)},
		{"ready_address", "not an address", "write IP:PORT", !disk && !isAddress(e.ReadyAddress)},
		{"peer_address", "not an address", "write IP:PORT", !disk && !isAddress(e.PeerAddress)},
		{"metrics_address", "not an address", "write IP:PORT or leave it out", e.MetricsAddress != "" && !isAddress(e.MetricsAddress)},
		{"store_address", "not an address", "write IP:PORT of the platform's store", !isAddress(e.StoreAddress)},
		{"memory_mb", "out of range", "write the megabytes that the process may take, 0 for no bound", e.MemoryMB < 0},
		{"max_descriptors", "out of range", "write the descriptors that the process may use, 0 for the default", e.MaxDescriptors < 0},
		{"processor_share", "out of range", "write the share of a core, 0 if unknown", e.ProcessorShare < 0 || e.ProcessorShare > 1024},
		{"grace_seconds", "out of range", "write 0.5 or more", e.GraceSeconds < 0.5},
		{"job_end_ms", "out of range", "write the milliseconds in which items of an ended job may still be sent, 0 for the default", e.JobEndMS < 0},
		{"revoke_ms", "out of range", "write the milliseconds for which a removed key may be served, 0 for the default", e.RevokeMS < 0 || e.RevokeMS > maxSettingMS},
		{"quota_window_s", "out of range", "write the seconds in which limits of organisations hold, 0 for the default", e.QuotaWindowSeconds < 0 || e.QuotaWindowSeconds > maxSettingMS/1000},
		{"quota_over", "out of range", "write the part by which a limit may be exceeded", e.QuotaOver < 0},
		{"quota_slack", "out of range", "write by how many requests a limit may be exceeded", e.QuotaSlack < 0},
		{"log_lines", "out of range", "write 0 for the default or a positive number", e.LogLines < 0},
	}
	for _, c := range checks {
		if c.invalid {
			return nil, trace.BadParameter("line %d: %s: %s; %s", lineOfField(source, c.field), c.field, c.problem, c.remedy)
		}
	}
	return e, nil
}
