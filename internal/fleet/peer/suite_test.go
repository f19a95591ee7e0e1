package peer_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestPeer(t *testing.T) { specs.Run(t, "peer") }
