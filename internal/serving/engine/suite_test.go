package engine_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestEngine(t *testing.T) { specs.Run(t, "engine") }
