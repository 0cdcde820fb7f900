package runner

import "math/rand/v2"

const fullPercent = 100

// Faults are the faults that a test injects into a runner. FailPercent to HangPercent are
// percentages of the requests; a request gets at most one of these faults. If they add up to more
// than 100, earlier fields take precedence.
type Faults struct {
	// FailPercent of the requests get status 503 at once, without running.
	FailPercent int `json:"failPercent"`
	// ClosePercent of the requests run, but their connection is closed without a response.
	ClosePercent int `json:"closePercent"`
	// TruncatePercent of the requests run, but their response is cut off half-way.
	TruncatePercent int `json:"truncatePercent"`
	// HangPercent of the requests wait until their connection closes.
	HangPercent int `json:"hangPercent"`
	// SlowPercent scales the service time of all requests; zero means 100.
	SlowPercent int `json:"slowPercent"`
}

// A fault is the fault injected into one request.
type fault int

const (
	faultNone fault = iota
	faultFail
	faultClose
	faultTruncate
	faultHang
)

// draw chooses the fault of one request.
func (f Faults) draw(random *rand.Rand) fault {
	drawn := random.IntN(fullPercent)
	shares := []struct {
		percent int
		fault   fault
	}{
		{f.FailPercent, faultFail},
		{f.ClosePercent, faultClose},
		{f.TruncatePercent, faultTruncate},
		{f.HangPercent, faultHang},
	}
	for _, share := range shares {
		if drawn < share.percent {
			return share.fault
		}
		drawn -= share.percent
	}
	return faultNone
}
