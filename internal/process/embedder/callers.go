package embedder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatstack/kumquatstack/internal/process/settings"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

const (
	// maxLatency is the longest time that is recorded.
	maxLatency = time.Minute
	// significantDigits of recorded latencies.
	significantDigits = 3
	// requestDeadline is what urgent callers ask for.
	requestDeadline = 5 * time.Second
)

// callers send urgent requests to all daemons in turn.
type callers struct {
	client *http.Client
	sets   []*settings.Settings
	paths  []declarer.Route
	rate   int
	group  sync.WaitGroup

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	answered  int
	failed    int
	lastError error
}

func newCallers(sets []*settings.Settings, declared *declarer.Declarations, rate int) *callers {
	return &callers{
		client:    &http.Client{Timeout: requestDeadline + time.Second},
		sets:      sets,
		paths:     declared.Routes,
		rate:      rate,
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
}

// start sends requests at a steady rate until the context ends.
func (c *callers) start(ctx context.Context) {
	c.group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(c.rate))
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				// A request in flight at the end is still waited for.
				c.group.Go(func() { c.send(context.WithoutCancel(ctx), number) })
			}
		}
	})
}

// send sends one request and checks that its answer is whole and its own.
func (c *callers) send(ctx context.Context, number int) {
	begin := time.Now()
	err := c.exchange(ctx, number)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failed++
		c.lastError = err
		return
	}
	c.answered++
	// Longer times than the histogram holds can't pass the client's timeout.
	_ = c.latencies.RecordValue(time.Since(begin).Microseconds())
}

func (c *callers) exchange(ctx context.Context, number int) error {
	route := c.paths[number%len(c.paths)]
	set := c.sets[number%len(c.sets)]
	body := []byte("request " + strconv.Itoa(number))
	url := "http://" + set.Listen.Callers + route.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Kumquat-Deadline-Millis", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	req.Header.Set("Idempotency-Key", "embedded-"+strconv.Itoa(number))
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s: %s", url, resp.Status, bytes.TrimSpace(answer))
	case !bytes.Contains(answer, body):
		return fmt.Errorf("%s: the answer belongs to another request", url)
	}
	return nil
}

// wait waits until no request is in flight.
func (c *callers) wait() { c.group.Wait() }

// close closes the idle connections.
func (c *callers) close() { c.client.CloseIdleConnections() }

// summary describes the requests so far.
func (c *callers) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	micros := func(quantile float64) time.Duration {
		return (time.Duration(c.latencies.ValueAtQuantile(quantile)) * time.Microsecond).Round(time.Millisecond)
	}
	return fmt.Sprintf("urgent requests: %d answered, %d not; p50 %s, p99 %s",
		c.answered, c.failed, micros(50), micros(99))
}

// errNothingAnswered reports a run in which no request was answered.
var errNothingAnswered = errors.New("no urgent request was answered")

// check returns an error unless all requests were answered.
func (c *callers) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed > 0 {
		return fmt.Errorf("%d urgent requests were not answered, the last: %w", c.failed, c.lastError)
	}
	if c.answered == 0 {
		return errNothingAnswered
	}
	return nil
}
