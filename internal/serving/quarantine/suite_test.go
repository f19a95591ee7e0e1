package quarantine_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestQuarantine(t *testing.T) { specs.Run(t, "quarantine") }
