package store_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestStore(t *testing.T) { specs.Run(t, "store") }
