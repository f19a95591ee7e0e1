package onlineapi_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestCaller(t *testing.T) { specs.Run(t, "onlineapi") }
