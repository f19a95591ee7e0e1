package revision_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestRevision(t *testing.T) { specs.Run(t, "revision") }
