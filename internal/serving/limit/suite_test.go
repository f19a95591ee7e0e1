package limit_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestLimit(t *testing.T) { specs.Run(t, "limit") }
