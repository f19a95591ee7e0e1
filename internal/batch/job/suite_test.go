package job_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestJob(t *testing.T) { specs.Run(t, "job") }
