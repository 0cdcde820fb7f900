// Package hops measures the latency that a daemon adds to a request, against
// going straight to a runner in the same run.
package hops

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/experiment/gauger"
	"github.com/kumquatstack/kumquatstack/internal/harness"
)

const (
	runners           = 12
	daemons           = 3
	service           = time.Millisecond
	deadline          = 2 * time.Second
	idleConnections   = 512
	maxLatency        = 10 * time.Second
	significantDigits = 3
	warmUp            = 2 * time.Second
	readyTimeout      = time.Minute
)

// Options configure a measurement.
type Options struct {
	// RequestsPerSecond is the rate of each of the two ways.
	RequestsPerSecond int
	Duration          time.Duration
	Out               io.Writer
}

// A way is one of the two ways to a runner.
type way struct {
	name   string
	urls   []string
	client *http.Client

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	failed    int
}

// Measure sends requests through daemons and straight to runners, in turn, and
// prints the latencies and their ratios.
func Measure(ctx context.Context, options Options) (err error) {
	b, err := harness.NewBench(ctx)
	if err != nil {
		return err
	}
	defer b.Close()
	defer func() { err = errors.Join(err, b.Failure(recover())) }()
	cluster := harness.Start(b, harness.Options{
		Sites:      []harness.Site{{DataCentre: "atl-a", Region: "north-ga", Daemons: daemons, Runners: runners}},
		RunnerArgs: []string{"--mean", service.String()},
	})
	straight := newWay("straight to a runner", straightURLs(cluster))
	through := newWay("through a daemon", daemonURLs(cluster))
	harness.Eventually(b, readyTimeout, "every daemon answers", func() bool { return through.allAnswer(ctx) })

	loadBoth(ctx, options.RequestsPerSecond, warmUp, false, straight, through)
	before, err := processorTime(ctx, cluster)
	if err != nil {
		return err
	}
	loadBoth(ctx, options.RequestsPerSecond, options.Duration, true, straight, through)
	after, err := processorTime(ctx, cluster)
	if err != nil {
		return err
	}
	if err := report(options.Out, straight, through); err != nil {
		return err
	}
	perRequest := (after - before) / time.Duration(max(through.latencies.TotalCount(), 1))
	_, err = fmt.Fprintf(options.Out, "processor time of all daemons: %s a request\n", perRequest)
	return err
}

// loadBoth sends requests both ways at once.
func loadBoth(ctx context.Context, perSecond int, length time.Duration, count bool, ways ...*way) {
	var group sync.WaitGroup
	for _, w := range ways {
		group.Go(func() { w.load(ctx, perSecond, length, count) })
	}
	group.Wait()
}

// processorTime sums what the daemons have used.
func processorTime(ctx context.Context, cluster *harness.Cluster) (total time.Duration, err error) {
	for _, daemon := range cluster.Daemons {
		used, err := gauger.Read(ctx, daemon)
		if err != nil {
			return 0, err
		}
		total += used.CPU
	}
	return total, nil
}

// straightURLs returns the runners' addresses, each behind a link of the proxy
// as the daemons' are.
func straightURLs(cluster *harness.Cluster) (urls []string) {
	for _, host := range cluster.Hosts() {
		if host.Kind == lister.KindRunner {
			urls = append(urls, "http://"+cluster.Network.Link("caller", host.Name, host.Address)+harness.PathIdempotent)
		}
	}
	return urls
}

func daemonURLs(cluster *harness.Cluster) (urls []string) {
	for _, daemon := range cluster.Daemons {
		urls = append(urls, "http://"+daemon.Callers+harness.PathIdempotent)
	}
	return urls
}

func newWay(name string, urls []string) *way {
	dialer := &net.Dialer{Timeout: time.Second}
	return &way{
		name: name,
		urls: urls,
		client: &http.Client{Timeout: 2 * deadline, Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnections,
			DisableCompression:  true,
		}},
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
}

// allAnswer reports whether each address answers a request.
func (w *way) allAnswer(ctx context.Context) bool {
	for n := range w.urls {
		if w.send(ctx, n) != nil {
			return false
		}
	}
	return true
}

// load sends requests at a steady rate, late ones included in their latency.
func (w *way) load(ctx context.Context, perSecond int, length time.Duration, count bool) {
	var group sync.WaitGroup
	defer group.Wait()
	begin := time.Now()
	gap := time.Second / time.Duration(perSecond)
	for n := range int(length / gap) {
		due := begin.Add(time.Duration(n) * gap)
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			return
		}
		group.Go(func() {
			err := w.send(ctx, n)
			if count {
				w.note(time.Since(due), err)
			}
		})
	}
}

// note records one request.
func (w *way) note(latency time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed++
		return
	}
	// The client's timeout keeps latencies within the histogram.
	_ = w.latencies.RecordValue(latency.Microseconds())
}

// send sends one request and reads the whole answer.
func (w *way) send(ctx context.Context, n int) error {
	body := bytes.NewReader([]byte("print " + strconv.Itoa(n)))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.urls[n%len(w.urls)], body)
	if err != nil {
		return err
	}
	req.Header.Set("Kumquat-Deadline-Millis", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}

// report prints both ways and the ratios of their quantiles.
func report(out io.Writer, straight, through *way) error {
	quantiles := []float64{50, 99, 99.9}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	// The writer keeps its first error, which Flush returns.
	_, _ = fmt.Fprintln(table, "way\tanswered\tnot\tp50\tp99\tp99.9\t")
	for _, w := range []*way{straight, through} {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t", w.name, w.latencies.TotalCount(), w.failed)
		for _, quantile := range quantiles {
			_, _ = fmt.Fprintf(table, "%d us\t", w.latencies.ValueAtQuantile(quantile))
		}
		_, _ = fmt.Fprintln(table)
	}
	_, _ = fmt.Fprint(table, "ratio\t\t\t")
	for _, quantile := range quantiles {
		ratio := float64(through.latencies.ValueAtQuantile(quantile)) / float64(straight.latencies.ValueAtQuantile(quantile))
		_, _ = fmt.Fprintf(table, "%.2f\t", ratio)
	}
	_, _ = fmt.Fprintln(table)
	return table.Flush()
}
