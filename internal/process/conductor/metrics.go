package conductor

import (
	"expvar"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/counter"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

const (
	// OrdersByOutcome counts orders to runners by kind and outcome.
	OrdersByOutcome counter.Name = "ordersByOutcome"
	// Looks counts the polls of runners.
	Looks counter.Name = "looks"
	// LooksFailed counts the polls of runners that failed.
	LooksFailed counter.Name = "looksFailed"
	// RecordsRefused counts the submissions that failed as the store refuses their progress.
	RecordsRefused counter.Name = "recordsRefused"
)

// Metrics counts and times calls to runners.
type Metrics struct {
	byOutcome   *expvar.Map
	polls       *expvar.Int
	pollsFailed *expvar.Int
	refused     *expvar.Int
	orderTimes  *counter.Histogram
	orderWaits  *counter.Histogram
	pollTimes   *counter.Histogram
}

// NewMetrics returns metrics that are registered in a set.
func NewMetrics(set *counter.Set) *Metrics {
	m := &Metrics{
		byOutcome: new(expvar.Map).Init(),
		polls:     set.Counter(Looks), pollsFailed: set.Counter(LooksFailed),
		refused: set.Counter(RecordsRefused),
	}
	set.Publish(OrdersByOutcome, m.byOutcome)
	m.orderTimes = set.Histogram(OrderTimes)
	m.orderWaits = set.Histogram(OrderWaits)
	m.pollTimes = set.Histogram(LookTimes)
	return m
}

const (
	// OrderTimes is the histogram of the durations of orders.
	OrderTimes counter.Name = "orderTimes"
	// OrderWaits is the histogram of the times for which orders waited in the daemon
	// before they were sent.
	OrderWaits counter.Name = "orderWaits"
	// LookTimes is the histogram of the durations of polls, less the time for which
	// the runner was allowed to hold them open.
	LookTimes counter.Name = "lookTimes"
)

func (m *Metrics) observeOrder(kind dispatcher.Kind, outcome dispatcher.Outcome, took time.Duration) {
	m.byOutcome.Add(kind.String()+"."+outcome.String(), 1)
	m.orderTimes.Observe(took)
}

// observePoll counts a poll and observes its duration beyond the time for which the
// runner was allowed to hold it open.
func (m *Metrics) observePoll(err error, beyond time.Duration) {
	m.polls.Add(1)
	if err != nil {
		m.pollsFailed.Add(1)
	}
	m.pollTimes.Observe(max(0, beyond))
}
