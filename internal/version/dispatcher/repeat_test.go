package dispatcher

import (
	"reflect"
	"testing"
)

// Guards against decisions in the order of a map: a random play that failed did not fail
// again with its seed.
func TestOrdersDoNotDependOnMaps(t *testing.T) {
	t.Parallel()
	t.Run("stops of runs without progress", func(t *testing.T) {
		t.Parallel()
		assertRepeats(t, func(h *harness) []Order {
			h.execute(h.table.Orders())
			h.pollAll(4)
			h.advance(stallAfter)
			h.pollAll(4)
			h.advance(0)
			return h.table.Orders()
		})
	})
	t.Run("stops on a restarted runner", func(t *testing.T) {
		t.Parallel()
		assertRepeats(t, func(h *harness) []Order {
			h.table.Orders() // no answer so far
			h.restart("r0")
			return h.table.Orders()
		})
	})
}

// assertRepeats checks that what happens after the placement of many tasks leads to the
// same orders each time, and to some.
func assertRepeats(t *testing.T, play func(h *harness) []Order) {
	t.Helper()
	var want []Order
	for range 10 {
		h := newHarness(t, 0, 4)
		h.pollAll(4)
		h.add("a", "urgent", oneCore(30))
		h.table.Schedule(h.now)
		got := play(h)
		if want == nil {
			want = got
		}
		if len(got) < 2 || !reflect.DeepEqual(got, want) {
			t.Fatalf("orders %+v, want %+v", got, want)
		}
	}
}
