package membership_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestMember(t *testing.T) { specs.Run(t, "membership") }
