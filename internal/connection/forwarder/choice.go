package forwarder

import "time"

// staleAfter is the age at which a load report of a peer is ignored.
const staleAfter = 1300 * time.Millisecond

// queueGain is the ratio of expected waits, the peer's to this daemon's, below which a
// request is queued at the peer.
const queueGain = 0.8

// A Load is the last reported load of one daemon's runners of one upstream.
type Load struct {
	Slots  int
	Free   int
	Queued int
	// MeanService is the mean time for which a request occupies a slot.
	MeanService time.Duration
	// ReportedAt is the time of the report; zero if there was none.
	ReportedAt time.Time
	// SentSince is the number of requests sent to the daemon since the report.
	SentSince int
}

// isKnown reports whether the load was reported recently enough to be used.
func (l Load) isKnown(now time.Time) bool {
	return !l.ReportedAt.IsZero() && now.Sub(l.ReportedAt) < staleAfter
}

// isFull reports whether at least as many requests as the daemon has slots were
// sent to it since its last report. Each response carries a new report, so only
// a peer that doesn't respond stays full.
func (l Load) isFull() bool { return l.SentSince >= l.Slots }

// Spare returns the estimated number of free slots. It is negative if requests
// are likely to wait.
func (l Load) Spare() int { return l.Free - l.Queued - l.SentSince }

// Wait returns the expected time until one more request gets a slot.
func (l Load) Wait() time.Duration {
	spare := l.Spare()
	if spare > 0 {
		return 0
	}
	if l.Slots <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(float64(1-spare) / float64(l.Slots) * float64(l.MeanService))
}

// A Candidate is a peer that may take a request.
type Candidate struct {
	// IsLocal is true for daemons in this daemon's data centre.
	IsLocal bool
	// Remote is true for daemons in other regions.
	Remote bool
	Load   Load
}

// Choose selects the peer to forward a request to when this daemon has no free
// slot. It returns the peer's index, or false if the request should be queued
// here. A near peer with spare slots is preferred unless a more distant one has
// more than twice as many. If no peer has spare slots, the shortest expected wait
// decides. Choose ignores remote peers, peers without a recent load report, and
// peers that were sent as many requests as they have slots since their last
// report. The offset rotates the choice among equal peers.
func Choose(own Load, candidates []Candidate, offset int, now time.Time) (index int, ok bool) {
	best := Candidate{Load: own}
	for i := range candidates {
		at := (i + offset) % len(candidates)
		c := candidates[at]
		if c.Remote || !c.Load.isKnown(now) || c.Load.isFull() {
			continue
		}
		if !ok && !isWorthForwarding(own, c.Load) {
			continue
		}
		if !ok || isBetter(c, best) {
			best, index, ok = c, at, true
		}
	}
	return index, ok
}

// isWorthForwarding reports whether a request is likely to get a slot clearly sooner
// at a peer than in this daemon's queue.
func isWorthForwarding(own, peer Load) bool {
	if own.Slots == 0 || peer.Spare() > 0 {
		return true
	}
	return peer.Wait().Seconds() < queueGain*own.Wait().Seconds()
}

// isBetter reports whether a is to be preferred over b.
func isBetter(a, b Candidate) bool {
	spareA, spareB := a.Load.Spare(), b.Load.Spare()
	if spareA <= 0 && spareB <= 0 {
		return a.Load.Wait() < b.Load.Wait()
	}
	if spareA <= 0 || spareB <= 0 {
		return spareA > 0
	}
	if a.IsLocal != b.IsLocal {
		if a.IsLocal {
			return 2*spareA >= spareB
		}
		return spareA > 2*spareB
	}
	return spareA > spareB
}

// ChooseRemote returns the index of the remote peer with the most spare slots. It
// returns false if there is none, or if the round trip over the link takes at
// least as long as the expected wait in this region.
func ChooseRemote(regionWait, delay time.Duration, candidates []Candidate, now time.Time) (index int, ok bool) {
	if regionWait <= delay {
		return 0, false
	}
	for i, c := range candidates {
		if !c.Remote || !c.Load.isKnown(now) || c.Load.Spare() <= 0 {
			continue
		}
		if !ok || c.Load.Spare() > candidates[index].Load.Spare() {
			index, ok = i, true
		}
	}
	return index, ok
}
