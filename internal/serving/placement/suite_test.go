package placement_test

import (
	"testing"

	_ "pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

// TestPlacement runs the specs. Package specs fixes the seed of rapid, so that
// the results are reproducible.
func TestPlacement(t *testing.T) { specs.Run(t, "placement") }
