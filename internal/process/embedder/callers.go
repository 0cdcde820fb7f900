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
	// maxRecordedLatency is the upper bound of the latency histogram.
	maxRecordedLatency = time.Minute
	// significantDigits is the precision of recorded latencies.
	significantDigits = 3
	// requestDeadline is the deadline of the urgent requests.
	requestDeadline = 5 * time.Second
)

// callers send urgent requests to the daemons in rotation and count the outcomes.
type callers struct {
	client *http.Client
	sets   []*settings.Settings // the settings of each daemon
	routes []declarer.Route
	rate   int            // requests per second
	group  sync.WaitGroup // the requests in flight

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
		routes:    declared.Routes,
		rate:      rate,
		latencies: hdrhistogram.New(1, maxRecordedLatency.Microseconds(), significantDigits),
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
				// A request in flight when the context ends is not cancelled; wait waits for it.
				c.group.Go(func() { c.send(context.WithoutCancel(ctx), number) })
			}
		}
	})
}

// send sends one request and records whether it succeeded, and its latency.
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
	// The client's timeout is below the upper bound of the histogram, so this can't fail.
	_ = c.latencies.RecordValue(time.Since(begin).Microseconds())
}

// exchange sends a request and checks that its answer is complete and belongs to this request: the
// runners echo the body.
func (c *callers) exchange(ctx context.Context, number int) error {
	route := c.routes[number%len(c.routes)]
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

// close closes the client's idle connections.
func (c *callers) close() { c.client.CloseIdleConnections() }

// summary describes the outcomes and latencies of the requests so far, for example
// "urgent requests: 100 answered, 0 failed; p50 52ms, p99 160ms".
func (c *callers) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	latencyAt := func(quantile float64) time.Duration {
		return (time.Duration(c.latencies.ValueAtQuantile(quantile)) * time.Microsecond).Round(time.Millisecond)
	}
	return fmt.Sprintf("urgent requests: %d answered, %d failed; p50 %s, p99 %s",
		c.answered, c.failed, latencyAt(50), latencyAt(99))
}

// errNoneAnswered is the error of a run in which no request was answered.
var errNoneAnswered = errors.New("no urgent request was answered")

// check returns an error unless requests were sent and all were answered.
func (c *callers) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed > 0 {
		return fmt.Errorf("%d urgent requests failed; last error: %w", c.failed, c.lastError)
	}
	if c.answered == 0 {
		return errNoneAnswered
	}
	return nil
}
