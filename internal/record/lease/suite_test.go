package lease_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestLease(t *testing.T) { specs.Run(t, "lease") }
