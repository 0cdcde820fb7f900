package tails

import (
	"math"
	"math/rand/v2"
	"time"
)

// An arrival is one request of a trace.
type arrival struct {
	number int
	// due is the time after the start of the trace at which the request is sent.
	due     time.Duration
	service time.Duration
	// daemon is the index of the daemon that the balancer chooses if that daemon
	// is ready.
	daemon int
	// runner is the index of the runner that random choice uses.
	runner int
}

// newTrace draws Poisson arrivals at a load, with log-normal service times. The
// same arguments give the same trace.
func newTrace(seed uint64, load float64, mean, length time.Duration) (trace []arrival) {
	random := rand.New(rand.NewPCG(seed, 0))
	rate := load * allSlots / mean.Seconds()
	due := time.Duration(0)
	for {
		due += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if due >= length {
			return trace
		}
		trace = append(trace, arrival{
			number:  len(trace),
			due:     due,
			service: drawService(random, mean),
			daemon:  drawDaemon(random),
			runner:  random.IntN(runners),
		})
	}
}

// drawService draws a log-normal service time.
func drawService(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

// drawDaemon draws the daemon of a request. Daemons with even numbers get three
// times as many requests as the others.
func drawDaemon(random *rand.Rand) int {
	const heavy, light = 3, 1
	pick := random.IntN(daemons / 2 * (heavy + light))
	pair, place := pick/(heavy+light), pick%(heavy+light)
	if place < heavy {
		return 2 * pair
	}
	return 2*pair + 1
}
