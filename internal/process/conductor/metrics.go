package conductor

import (
	"expvar"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/counter"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

const (
	// OrdersByOutcome holds the numbers of orders to runners by outcome.
	OrdersByOutcome counter.Name = "ordersByOutcome"
	// Looks is the number of looks at runners.
	Looks counter.Name = "looks"
	// LooksFailed is the number of looks at runners without an answer.
	LooksFailed counter.Name = "looksFailed"
)

// Metrics counts calls to runners.
type Metrics struct {
	byOutcome  *expvar.Map
	looks      *expvar.Int
	failed     *expvar.Int
	orderTimes *counter.Histogram
	lookTimes  *counter.Histogram
}

// NewMetrics registers the metrics in a set.
func NewMetrics(set *counter.Set) *Metrics {
	m := &Metrics{
		byOutcome: new(expvar.Map).Init(),
		looks:     set.Counter(Looks), failed: set.Counter(LooksFailed),
	}
	set.Publish(OrdersByOutcome, m.byOutcome)
	m.orderTimes = set.Histogram(OrderTimes)
	m.lookTimes = set.Histogram(LookTimes)
	return m
}

const (
	// OrderTimes is the histogram of the times of orders.
	OrderTimes counter.Name = "orderTimes"
	// LookTimes is the histogram of the times of looks beyond their wait.
	LookTimes counter.Name = "lookTimes"
)

func (m *Metrics) observe(kind dispatcher.Kind, outcome dispatcher.Outcome, took time.Duration) {
	m.byOutcome.Add(kind.String()+"."+outcome.String(), 1)
	m.orderTimes.Observe(took)
}

func (m *Metrics) looked(err error, beyond time.Duration) {
	m.looks.Add(1)
	if err != nil {
		m.failed.Add(1)
	}
	m.lookTimes.Observe(max(0, beyond))
}
