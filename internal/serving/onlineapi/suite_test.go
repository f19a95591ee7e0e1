package onlineapi_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestOnlineAPI(t *testing.T) { specs.Run(t, "onlineapi") }
