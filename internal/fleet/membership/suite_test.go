package membership_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestMembership(t *testing.T) { specs.Run(t, "membership") }
