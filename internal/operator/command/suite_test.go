package command_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestCommand(t *testing.T) { specs.Run(t, "command") }
