package recorder_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestRecorder(t *testing.T) { specs.Run(t, "recorder") }
