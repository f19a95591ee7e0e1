package platform_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestPlatform(t *testing.T) { specs.Run(t, "platform") }
