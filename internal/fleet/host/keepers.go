package host

import (
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/serving/keeper"
)

// queuePolicy returns the policy with that name in the settings.
func queuePolicy(name string) keeper.PolicyFactory {
	if name == setup.PolicyNaive {
		return keeper.FIFOPolicy
	}
	return keeper.PriorityPolicy
}
