package ledger_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestLedger(t *testing.T) { specs.Run(t, "ledger") }
