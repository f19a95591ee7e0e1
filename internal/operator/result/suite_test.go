package result_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestResult(t *testing.T) { specs.Run(t, "result") }
