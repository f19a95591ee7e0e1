package services_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestServices(t *testing.T) { specs.Run(t, "services") }
