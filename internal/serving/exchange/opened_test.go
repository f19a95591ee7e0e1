package exchange_test

import (
	"context"
	"slices"
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
)

func TestOpenedCallsTheFunctionsOfAllObservers(t *testing.T) {
	var called []string
	outer := exchange.WithOpened(context.Background(), func() { called = append(called, "outer") })
	inner := exchange.WithOpened(outer, func() { called = append(called, "inner") })
	exchange.Opened(inner)
	if slices.Sort(called); !slices.Equal(called, []string{"inner", "outer"}) {
		t.Errorf("called %v, want outer and inner", called)
	}
	called = nil
	exchange.Opened(outer)
	if len(called) != 1 {
		t.Errorf("called %v, want outer alone", called)
	}
	exchange.Opened(context.Background())
}
