package cause_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestCause(t *testing.T) { specs.Run(t, "cause") }
