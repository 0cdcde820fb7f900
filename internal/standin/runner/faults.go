package runner

import "math/rand/v2"

const hundredPercent = 100

// Faults are what a test makes a runner do wrong. Percentages are shares of
// the requests; the first that applies, in the order of the fields, counts.
type Faults struct {
	// FailPercent are answered at once with status 503, without running.
	FailPercent int `json:"failPercent"`
	// ClosePercent have their connection closed after running.
	ClosePercent int `json:"closePercent"`
	// TruncatePercent run, but their answer breaks off half-way.
	TruncatePercent int `json:"truncatePercent"`
	// HangPercent wait until the connection closes.
	HangPercent int `json:"hangPercent"`
	// SlowPercent scales the service time; zero means 100.
	SlowPercent int `json:"slowPercent"`
}

// A fault is what happens to one request.
type fault int

const (
	faultNone fault = iota
	faultFail
	faultClose
	faultTruncate
	faultHang
)

// draw decides what happens to one request.
func (f Faults) draw(random *rand.Rand) fault {
	drawn := random.IntN(hundredPercent)
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
