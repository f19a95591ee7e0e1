package entry

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/operator/logging"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
)

const (
	// Callers that are refused since the configuration may be outdated are told to retry
	// after a time between minOutdatedRetry and maxOutdatedRetry, so that they don't come
	// back together.
	minOutdatedRetry = 200 * time.Millisecond
	maxOutdatedRetry = 600 * time.Millisecond
	// keyRefusalLines is how many lines a second are logged of the refusals by key, for
	// each cause.
	keyRefusalLines = 1
)

// keyRefusal counts and logs the refusals of requests by their key, of one cause.
type keyRefusal struct {
	total *metrics.Counter
	lines *logging.LineLimit
}

func newKeyRefusals() map[result.Code]keyRefusal {
	return map[result.Code]keyRefusal{
		result.Unauthorized:   {metrics.GetOrCreateCounter(`kingcupquay_key_refusals_total{cause="unknown key"}`), logging.NewLineLimit(keyRefusalLines)},
		result.ConfigOutdated: {metrics.GetOrCreateCounter(`kingcupquay_key_refusals_total{cause="configuration may be outdated"}`), logging.NewLineLimit(keyRefusalLines)},
	}
}

// Authorize returns the organisation that holds a key, or the error to refuse its request
// with. The configuration in force decides, which may be newer than that with which the
// route was found. If revocation is strict, it must be known to be current; see proofs.
func (h *Host) Authorize(c *routes.Config, key string) (*routes.Organisation, *result.Error) {
	if current := h.config.Current(); current != nil {
		c = current
	}
	if !c.HasOrganisations() {
		return new(routes.Organisation), nil
	}
	if key == "" {
		return nil, result.New(result.Unauthorized, "the request has no key, or none that can be read")
	}
	if h.proofs.active(c) {
		return h.proofs.authorize(key)
	}
	if o, known := c.OrganisationOfKey(key); known {
		return o, nil
	}
	return nil, unknownKey()
}

func unknownKey() *result.Error {
	return result.New(result.Unauthorized, "no organisation has the key")
}

func outdated() *result.Error {
	retry := minOutdatedRetry + rand.N(maxOutdatedRetry-minOutdatedRetry)
	return result.New(result.ConfigOutdated, "whether the key is valid is not known at present").WithRetry(retry)
}

// logKeyRefusal counts the refusal of a request by its key, and logs it unless a line with
// that cause was logged in this second. It returns false for other refusals.
func (h *Host) logKeyRefusal(id, target string, failure *result.Error) bool {
	refusal, byKey := h.keyRefusals[failure.Code()]
	if !byKey {
		return false
	}
	refusal.total.Inc()
	if skipped, ok := refusal.lines.Take(h.timer.Now()); ok {
		h.log.Info("refused by key", "request", id, "path", target, "cause", failure.Error(), "config", h.config.Version(), "requests", skipped+1)
	}
	return true
}
