package distribution_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestDistribution(t *testing.T) { specs.Run(t, "distribution") }
