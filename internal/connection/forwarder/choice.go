package forwarder

import "time"

// staleAfter is the age at which word of a peer's load no longer counts.
const staleAfter = 1300 * time.Millisecond

// queueGain is the factor by which a peer's expected wait has to be shorter
// than this daemon's own for a request to be queued there.
const queueGain = 0.8

// A Load is what is known of one daemon's runners of one upstream.
type Load struct {
	Slots  int
	Free   int
	Queued int
	// MeanService is the mean time that a slot is in use.
	MeanService time.Duration
	// ReportedAt is the time of the word; zero if there was none.
	ReportedAt time.Time
	// SentSince is the number of requests sent there since then.
	SentSince int
}

// isKnown reports whether the word of the load still counts.
func (l Load) isKnown(now time.Time) bool {
	return !l.ReportedAt.IsZero() && now.Sub(l.ReportedAt) < staleAfter
}

// isFull reports whether as many requests went there since the word as there
// are slots. Each answer is newer word, so that only a silent peer stays full.
func (l Load) isFull() bool { return l.SentSince >= l.Slots }

// Spare returns the slots that are likely to be free, negative if requests are
// likely to wait.
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
	// Near is true for daemons in this daemon's data centre.
	Near bool
	// Remote is true for daemons in other regions.
	Remote bool
	Load   Load
}

// Choose returns the index of the peer that takes a request which no free slot
// of this daemon can take. A near peer with spare slots goes before others
// unless one of them has more than twice as many; without spare slots anywhere
// the shortest wait decides, and false keeps the request here. Remote peers
// are not considered, nor those that were sent as many requests as they have
// slots without newer word of them. The offset rotates the choice among equals.
func Choose(own Load, candidates []Candidate, offset int, now time.Time) (index int, ok bool) {
	best := Candidate{Load: own}
	for i := range candidates {
		at := (i + offset) % len(candidates)
		c := candidates[at]
		if c.Remote || !c.Load.isKnown(now) || c.Load.isFull() {
			continue
		}
		if !ok && !isWorthLeaving(own, c.Load) {
			continue
		}
		if !ok || isBetter(c, best) {
			best, index, ok = c, at, true
		}
	}
	return index, ok
}

// isWorthLeaving reports whether a request fares better at a peer than in this
// daemon's queue.
func isWorthLeaving(own, peer Load) bool {
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
	if a.Near != b.Near {
		if a.Near {
			return 2*spareA >= spareB
		}
		return spareA > 2*spareB
	}
	return spareA > spareB
}

// ChooseRemote returns the index of the remote peer with the most spare slots
// if it serves a request sooner than this region, given the delay of the link
// there and back.
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
