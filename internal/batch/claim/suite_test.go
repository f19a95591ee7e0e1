package claim_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestSpecs(t *testing.T) { specs.Run(t, "claim") }
