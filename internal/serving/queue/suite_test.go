package queue_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestQueue(t *testing.T) { specs.Run(t, "queue") }
