package route_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestRoute(t *testing.T) { specs.Run(t, "route") }
