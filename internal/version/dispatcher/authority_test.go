package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// newSuccessorHarness returns a harness whose owner succeeds one that does not answer, and
// that may act for some time, with a task that was submitted to the former owner. The stored
// roster names a number of runners.
func newSuccessorHarness(t *testing.T, runners int, mayAct time.Duration) *harness {
	t.Helper()
	h, _ := newTakeoverHarness(t, runners)
	h.table.ExpectRunners(h.table.Runners())
	h.table.SetFormerOwnerEnd(h.now.Add(mayAct))
	return h
}

// longestLease is how long a lease lasts at most that is granted now.
var longestLease = scaleDrift(testLimits.MaxLease) + lapseMargin

// Guards against long-running tasks that wait for the longest time for which an owner that is
// gone for good may act, with each change of owner again.
func TestNewOwnerWithAQuorumWaitsForLeasesOnly(t *testing.T) {
	const mayAct = 10 * time.Second
	for _, c := range []struct {
		name   string
		expect func(h *harness)
		polled []string
		want   time.Duration
	}{
		{"majority", nil, []string{"r0", "r1", "r2"}, longestLease},
		{"half", nil, []string{"r0", "r1"}, longestLease},
		{"a quarter", nil, []string{"r0"}, mayAct + longestLease},
		{"half, one of which the roster does not name", func(h *harness) {
			h.table.ExpectRunners([]RunnerInfo{{ID: "r0", Lifetime: 1}, {ID: "r2", Lifetime: 1}, {ID: "r3", Lifetime: 1}, {ID: "r4", Lifetime: 1}})
		}, []string{"r0", "r1"}, mayAct + longestLease},
		{"majority with restarted runners", func(h *harness) {
			h.lifetimes["r0"], h.lifetimes["r1"] = 2, 2
		}, []string{"r0", "r1", "r2"}, mayAct + longestLease},
		{"the roster is not known", func(h *harness) {
			h.table.formerRoster = nil
			h.table.ExpectOtherRunners()
		}, []string{"r0", "r1", "r2", "r3"}, mayAct + longestLease},
		{"earlier owners may act", func(h *harness) {
			h.table.SetEarlierOwnersEnd(h.now.Add(3 * time.Second))
		}, []string{"r0", "r1", "r2"}, longestLease},
		{"earlier owners may act, a quarter", func(h *harness) {
			h.table.SetEarlierOwnersEnd(h.now.Add(3 * time.Second))
		}, []string{"r0"}, mayAct + longestLease},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newSuccessorHarness(t, 4, mayAct)
			if c.expect != nil {
				c.expect(h)
			}
			assertFirstStart(t, h, c.want, c.polled...)
		})
	}
}

// Guards against an owner that is cut off from the store and goes on renewing leases after so
// many runners have accepted a successor that it waits for leases only.
func TestLeasesEndWithoutAQuorum(t *testing.T) {
	const runners = 5
	for _, c := range []struct {
		name    string
		act     func(h *harness)
		answers int           // how many runners go on answering
		lasts   time.Duration // of a lease that is granted after 4 s, at least
		atMost  time.Duration
	}{
		{"quorum", func(*harness) {}, 4, testLimits.MaxLease - time.Second, testLimits.MaxLease},
		{"majority without a quorum", func(*harness) {}, 3, 0, testLimits.MaxLease - 4*time.Second},
		{"no quorum of a roster that may be stored", func(h *harness) {
			h.table.RosterUnderWay([]RunnerInfo{{ID: "r0", Lifetime: 1}, {ID: "r3", Lifetime: 1}, {ID: "r4", Lifetime: 1}})
		}, 4, 0, testLimits.MaxLease - 4*time.Second},
		{"quorum with a restarted runner", func(h *harness) {
			h.restart("r0")
		}, 4, 0, testLimits.MaxLease - 4*time.Second},
		{"the host was suspended", func(h *harness) {
			h.table.Authorize(7*time.Second, 3*time.Second, h.now.Add(4*time.Second))
		}, 4, 0, testLimits.MaxLease - 3*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0, runners)
			h.pollAll(runners)
			h.advance(0)
			confirmed := h.now
			h.isUnconfirmed = true
			c.act(h)
			for h.now.Sub(confirmed) < 4*time.Second {
				h.advance(500 * time.Millisecond)
				for i := range c.answers {
					h.poll(fmt.Sprintf("r%d", i))
				}
			}
			r := h.table.runners["r0"]
			lease := time.Duration(h.table.LeaseUntil("r0", h.now)-r.clock) * time.Millisecond
			if lease < c.lasts || lease > c.atMost {
				t.Errorf("lease of %s, want %s to %s", lease, c.lasts, c.atMost)
			}
		})
	}
}

// Guards against tasks that are started again and again under leases that lapse at once.
func TestNothingStartsWithoutAuthority(t *testing.T) {
	h := newHarness(t, 0, 3)
	h.pollAll(3)
	h.isUnconfirmed = true
	for range 10 {
		h.advance(500 * time.Millisecond)
		h.poll("r0")
	}
	h.add("a", "urgent", oneCore(1))
	assertStarts(t, h.starts(), 0)
	h.isUnconfirmed = false
	h.advance(500 * time.Millisecond)
	h.poll("r0")
	assertStarts(t, h.starts(), 1)
}

// Guards against a successor that starts a task while a former owner, which is cut off from
// the store together with runners of slow clocks, still has a lease there; and against one
// that waits for longer than leases last although it reaches over a quarter of the runners.
func TestLeasesOfAnOwnerThatIsCutOffLapseBeforeItsSuccessorStarts(t *testing.T) {
	const mayAct = 10 * time.Second
	for _, c := range []struct {
		runners, cutOff int
		want            time.Duration // until the start
	}{
		{3, 1, longestLease},
		{3, 2, longestLease},
		{4, 2, longestLease},
		{4, 3, mayAct + longestLease},
		{8, 5, longestLease},
		{8, 6, mayAct + longestLease},
		{8, 7, mayAct + longestLease},
		{66, 36, longestLease},
		{66, 49, longestLease},
		{66, 50, mayAct + longestLease},
	} {
		t.Run(fmt.Sprintf("%d of %d runners", c.cutOff, c.runners), func(t *testing.T) {
			former := newHarness(t, 0, c.runners)
			former.pollAll(c.runners)
			former.advance(0)
			successor := newSuccessorHarness(t, c.runners, mayAct)
			former.isUnconfirmed = true
			var lapse time.Time
			for successor.now.Sub(epoch) < c.want+200*time.Millisecond {
				former.now = successor.now
				if former.now.Sub(epoch) < mayAct {
					lapse = later(lapse, former.renewCutOff(c.cutOff))
				}
				for i := c.cutOff; i < c.runners; i++ {
					successor.poll(fmt.Sprintf("r%d", i))
				}
				if len(successor.starts()) > 0 {
					if successor.now.Before(lapse) {
						t.Errorf("started at %s, a lease lapses at %s", successor.now.Sub(epoch), lapse.Sub(epoch))
					}
					return
				}
				successor.advance(50 * time.Millisecond)
			}
			t.Errorf("the successor has not started the task after %s", c.want)
		})
	}
}

// Guards against an owner that relies on a quorum of a roster which its predecessor has stored,
// while an owner before that one, which is cut off with a quorum of the roster before, still
// renews leases; and against one that waits for longer than leases last although neither has a
// quorum.
func TestLeasesOfAnOwnerBeforeTheFormerOneLapseBeforeATaskStarts(t *testing.T) {
	const mayAct = 8 * time.Second
	for _, c := range []struct {
		runners, cutOff, joined int
		want                    time.Duration // until the start
	}{
		{4, 2, 0, longestLease},
		{4, 2, 8, longestLease},
		{4, 3, 0, mayAct + longestLease},
		{4, 3, 8, mayAct + longestLease},
		{8, 5, 30, longestLease},
		{8, 6, 30, mayAct + longestLease},
		{66, 49, 20, longestLease},
		{66, 50, 20, mayAct + longestLease},
		{66, 65, 200, mayAct + longestLease},
	} {
		t.Run(fmt.Sprintf("%d of %d runners, %d joined", c.cutOff, c.runners, c.joined), func(t *testing.T) {
			first := newHarness(t, 0, c.runners)
			first.pollAll(c.runners)
			first.advance(0)
			first.isUnconfirmed = true
			second, stored := newSuccessorHarness(t, c.runners, mayAct), c.runners
			second.pollFrom(c.cutOff, c.runners)
			if second.table.MayStoreRoster(second.now) {
				stored += c.joined
			}
			third := newSuccessorHarness(t, stored, mayAct)
			third.table.SetEarlierOwnersEnd(epoch.Add(mayAct))
			assertStartsOnceLeasesHaveLapsed(t, first, third, c.cutOff, stored, mayAct, c.want)
		})
	}
}

// pollFrom polls the runners from one number up to another.
func (h *harness) pollFrom(first, end int) {
	for i := first; i < end; i++ {
		h.poll(fmt.Sprintf("r%d", i))
	}
}

// assertStartsOnceLeasesHaveLapsed checks that an owner that polls all runners but those that
// are cut off with an earlier one, which acts for some time, starts a task after a time, and not
// before the leases of that one have lapsed.
func assertStartsOnceLeasesHaveLapsed(t *testing.T, earlier, h *harness, cutOff, runners int, mayAct, want time.Duration) {
	t.Helper()
	var lapse time.Time
	for h.now.Sub(epoch) < want+400*time.Millisecond {
		earlier.now = h.now
		if earlier.now.Sub(epoch) < mayAct {
			lapse = later(lapse, earlier.renewCutOff(cutOff))
		}
		h.pollFrom(cutOff, runners)
		if len(h.starts()) > 0 {
			if h.now.Before(lapse) {
				t.Errorf("started at %s, a lease lapses at %s", h.now.Sub(epoch), lapse.Sub(epoch))
			}
			return
		}
		h.advance(50 * time.Millisecond)
	}
	t.Errorf("the task has not started after %s", want)
}

// renewCutOff lets an owner that is cut off renew the leases of the first runners, whose clocks
// are slow. It returns when the last of these leases lapses.
func (h *harness) renewCutOff(runners int) (lapse time.Time) {
	h.table.Tick(h.now)
	clock := int64(float64(h.now.Sub(epoch).Milliseconds())*(1-clockDrift)) + 1000
	for i := range runners {
		id := fmt.Sprintf("r%d", i)
		if left := h.table.LeaseUntil(id, h.now) - clock; left > 0 {
			lapse = later(lapse, h.now.Add(scaleDrift(time.Duration(left)*time.Millisecond)))
		}
		h.table.Report(id, Report{Token: h.table.fence, Lifetime: 1, Clock: clock}, h.now, h.now)
		if h.table.runners[id].answeredAt.IsZero() {
			h.t.Fatalf("%s has not answered its former owner", id)
		}
	}
	return lapse
}
