package keeper_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestKeeper(t *testing.T) { specs.Run(t, "keeper") }
