package gate_test

import (
	"testing"

	_ "pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

// TestGate runs the specs. Package specs fixes the seeds, so that the suite
// gives the same verdict each time.
func TestGate(t *testing.T) { specs.Run(t, "gate") }
