package placement_test

import (
	"testing"

	_ "pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

// init fixes rapid's seed, so that the suite gives the same verdict each time.
func TestPlacement(t *testing.T) { specs.Run(t, "placement") }
