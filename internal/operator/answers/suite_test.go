package answers_test

import (
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestAnswers(t *testing.T) { specs.Run(t, "answers") }
