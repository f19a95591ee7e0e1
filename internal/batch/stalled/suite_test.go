package stalled_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestIdle(t *testing.T) { specs.Run(t, "stalled") }
