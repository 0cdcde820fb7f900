package router

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

// BenchmarkAddedLatency measures the latency of a request to a runner that responds
// at once: directly, through the runner's owner, and through a daemon that forwards
// the request to the owner.
func BenchmarkAddedLatency(b *testing.B) {
	runner := newFakeRunner(b, "charm-1", echo)
	c := newCluster(b, []string{"atl-a-1", "atl-a-2"}, runner)
	for _, path := range []struct {
		name string
		url  string
	}{
		{"straight", runner.URL},
		{"owner", c.daemons[0].callers.URL},
		{"forwarded", c.daemons[1].callers.URL},
	} {
		b.Run(path.name, func(b *testing.B) { measure(b, path.url) })
	}
}

func measure(b *testing.B, url string) {
	b.Helper()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	histogram := hdrhistogram.New(1, int64(time.Second/time.Microsecond), 3)
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, url+"/charms/1", strings.NewReader("print"))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set(answerer.HeaderDeadline, "2000")
		startedAt := time.Now()
		resp, err := transport.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
		_ = histogram.RecordValue(time.Since(startedAt).Microseconds())
	}
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
}
