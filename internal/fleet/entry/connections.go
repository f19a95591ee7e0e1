package entry

import (
	"fmt"

	"github.com/kingcupquay/kingcupquay/internal/fleet/drain"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/buffer"
)

// memoryLimits returns the limits of what a host with settings holds for callers.
func memoryLimits(s *setup.Entry) buffer.Limits { return buffer.LimitsOf(int64(s.MemoryMB) << 20) }

// headBounds returns the bounds of the heads of callers' requests.
func (h *Host) headBounds() drain.Bounds {
	config := h.config.Current()
	if config == nil {
		return drain.Bounds{}
	}
	limits := config.Limits()
	return drain.Bounds{
		Bytes: int64(limits.HeaderBytes), Time: limits.HeaderTimeout, Idle: limits.IdleTimeout,
		Refusal: fmt.Sprintf("%d header of over %d bytes\n", result.HeaderTooLarge, limits.HeaderBytes),
	}
}
