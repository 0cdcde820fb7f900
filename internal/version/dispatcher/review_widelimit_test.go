package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// Guards against runners that stay empty for ever longer times for a gang that can't start, as
// what runs on one of them goes on.
func TestOtherWorkStopsForABoundedTimeBesideALargeGang(t *testing.T) {
	for _, queue := range []string{"urgent", "night"} {
		t.Run("gang of queue "+queue, func(t *testing.T) {
			const ending = 3 // runners on which tasks end
			s := newStream(t, ending+1, stream{queue: "urgent", memoryMB: 100, ends: 1})
			s.addAged("gang", queue, waitBound, fullGang(ending+1))
			s.runners = ending
			var idle, longest time.Duration
			last := s.now
			for since := s.now; s.now.Sub(since) < 6*time.Minute; {
				s.poll(fmt.Sprint("r", ending))
				starts := len(s.pass())
				free := int64(0)
				for _, r := range s.table.runners {
					free += r.free().MilliCores
				}
				if starts > 0 || free <= 32_000 {
					idle = 0
				} else {
					idle += s.now.Sub(last)
				}
				last, longest = s.now, max(longest, idle)
			}
			if longest > waitBound {
				t.Errorf("nothing has started for %s while over half of the processors were free and others waited, want at most %s", longest, waitBound)
			}
		})
	}
}
