// Package hops measures the latency that a daemon adds to a request, compared
// with requests that are sent directly to a runner in the same run.
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
	// RequestsPerSecond is the rate on each of the two paths.
	RequestsPerSecond int
	Duration          time.Duration
	Out               io.Writer
}

// A path is one of the two paths to a runner, direct or through a daemon, with the
// measurements of requests on this path.
type path struct {
	name   string
	urls   []string
	client *http.Client

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	failed    int
}

// Measure sends requests through daemons and directly to runners at the same time
// and prints the latencies, their ratios and the processor time of the daemons.
func Measure(ctx context.Context, options Options) (err error) {
	b, err := harness.NewStandaloneTB(ctx)
	if err != nil {
		return err
	}
	defer b.Close()
	defer func() { err = errors.Join(err, b.Failure(recover())) }()
	cluster := harness.Start(b, harness.Options{
		Sites:      []harness.Site{{DataCentre: "atl-a", Region: "north-ga", Daemons: daemons, Runners: runners}},
		RunnerArgs: []string{"--mean", service.String()},
	})
	direct := newPath("straight to a runner", directURLs(cluster))
	through := newPath("through a daemon", daemonURLs(cluster))
	harness.Eventually(b, readyTimeout, "every daemon answers", func() bool { return through.allAnswer(ctx) })

	loadBoth(ctx, options.RequestsPerSecond, warmUp, false, direct, through)
	before, err := processorTime(ctx, cluster)
	if err != nil {
		return err
	}
	loadBoth(ctx, options.RequestsPerSecond, options.Duration, true, direct, through)
	after, err := processorTime(ctx, cluster)
	if err != nil {
		return err
	}
	if err := report(options.Out, direct, through); err != nil {
		return err
	}
	perRequest := (after - before) / time.Duration(max(through.latencies.TotalCount(), 1))
	_, err = fmt.Fprintf(options.Out, "processor time of all daemons: %s a request\n", perRequest)
	return err
}

// loadBoth sends requests on all paths at the same time. It records the latencies
// if isMeasured is set.
func loadBoth(ctx context.Context, perSecond int, length time.Duration, isMeasured bool, paths ...*path) {
	var group sync.WaitGroup
	for _, p := range paths {
		group.Go(func() { p.load(ctx, perSecond, length, isMeasured) })
	}
	group.Wait()
}

// processorTime returns the total processor time that all daemons have used since
// their starts.
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

// directURLs returns the URLs of the runners. Each address is behind a link of the
// proxy, as it is for the daemons, so that both paths have the cost of the proxy.
func directURLs(cluster *harness.Cluster) (urls []string) {
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

func newPath(name string, urls []string) *path {
	dialer := &net.Dialer{Timeout: time.Second}
	return &path{
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

// allAnswer reports whether each URL answers a request.
func (p *path) allAnswer(ctx context.Context) bool {
	for n := range p.urls {
		if p.send(ctx, n) != nil {
			return false
		}
	}
	return true
}

// load sends requests at a steady rate. Latencies are measured from the time at
// which a request is due, so that they include the delay of late sends.
func (p *path) load(ctx context.Context, perSecond int, length time.Duration, isMeasured bool) {
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
			err := p.send(ctx, n)
			if isMeasured {
				p.record(time.Since(due), err)
			}
		})
	}
}

// record records the latency of one request, or that it failed.
func (p *path) record(latency time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed++
		return
	}
	// The client's timeout keeps latencies within the histogram.
	_ = p.latencies.RecordValue(latency.Microseconds())
}

// send sends one request and reads the whole answer.
func (p *path) send(ctx context.Context, n int) error {
	body := bytes.NewReader([]byte("print " + strconv.Itoa(n)))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.urls[n%len(p.urls)], body)
	if err != nil {
		return err
	}
	req.Header.Set("Kumquat-Deadline-Millis", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := p.client.Do(req)
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

// report prints the results of both paths, and for each quantile the ratio of the
// path through daemons to the direct path.
func report(out io.Writer, direct, through *path) error {
	quantiles := []float64{50, 99, 99.9}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	// The writer keeps its first error, which Flush returns.
	_, _ = fmt.Fprintln(table, "way\tanswered\tnot\tp50\tp99\tp99.9\t")
	for _, p := range []*path{direct, through} {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t", p.name, p.latencies.TotalCount(), p.failed)
		for _, quantile := range quantiles {
			_, _ = fmt.Fprintf(table, "%d us\t", p.latencies.ValueAtQuantile(quantile))
		}
		_, _ = fmt.Fprintln(table)
	}
	_, _ = fmt.Fprint(table, "ratio\t\t\t")
	for _, quantile := range quantiles {
		ratio := float64(through.latencies.ValueAtQuantile(quantile)) / float64(direct.latencies.ValueAtQuantile(quantile))
		_, _ = fmt.Fprintf(table, "%.2f\t", ratio)
	}
	_, _ = fmt.Fprintln(table)
	return table.Flush()
}
