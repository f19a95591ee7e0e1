package dispatch_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestDispatch(t *testing.T) { specs.Run(t, "dispatch") }
