package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

// suspectsFleet connects the guard against crashing parts to the other hosts.
type suspectsFleet Host

var _ suspect.Fleet = (*suspectsFleet)(nil)

// IsTrialHost reports whether rendezvous hashing over the live hosts, or in a
// large fleet over the relays, assigns the part to this host.
func (f *suspectsFleet) IsTrialHost(part string) bool {
	var hosts []string
	if f.members.LargeFleet() {
		hosts = f.members.AllRelays(f.timer.Now())
	} else {
		hosts = []string{f.settings.Name}
		for _, m := range f.members.Live() {
			hosts = append(hosts, m.Host)
		}
	}
	return rendezvous.First(hosts, part) == f.settings.Name
}

// ShareSoon sends the records with the next messages, which are due at once.
func (f *suspectsFleet) ShareSoon() {
	h := (*Host)(f)
	h.sendNoticeSoon()
	h.passOn()
}

// suspectBody is the JSON form of a suspect.Record for operators.
type suspectBody struct {
	Part      string    `json:"part"`
	Condemned bool      `json:"condemned"`
	Servers   []string  `json:"servers"`
	Trials    int       `json:"trials"`
	Until     time.Time `json:"until"`
}

// handleSuspects lists the accused parts.
func (h *Host) handleSuspects(w http.ResponseWriter, _ *http.Request) {
	bodies := []suspectBody{}
	for _, r := range h.suspects.Accused() {
		bodies = append(bodies, suspectBody{Part: r.Part, Condemned: r.Condemned(), Servers: r.Servers, Trials: r.Trials, Until: r.ExpiresAt})
	}
	text, err := json.Marshal(bodies)
	if err != nil {
		writeFailure(w, result.New(result.Internal, "%v", err))
		return
	}
	writeBody(w, text)
}

// handleWithdraw ends the accusation of a part at all hosts.
func (h *Host) handleWithdraw(w http.ResponseWriter, r *http.Request) {
	if !h.suspects.Withdraw(r.PathValue("part")) {
		writeFailure(w, result.New(result.NotFound, "part %.64q is not accused", r.PathValue("part")))
	}
}
