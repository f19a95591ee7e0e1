package retry_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestRetry(t *testing.T) { specs.Run(t, "retry") }
