package daemon

import (
	"expvar"
	"net/http"

	"github.com/kumquatstack/kumquatstack/internal/connection/dialer"
	"github.com/kumquatstack/kumquatstack/internal/connection/meter"
	"github.com/kumquatstack/kumquatstack/internal/process/counter"
	"github.com/kumquatstack/kumquatstack/internal/process/settings"
)

// meters count the bytes of the daemon's control traffic.
type meters struct {
	dial     dialer.DialFunc
	store    *meter.Meter
	peers    *meter.Meter
	workers  *meter.Meter
	hostList *meter.Meter
}

func newMeters(set *settings.Settings) *meters {
	return &meters{
		dial:     dialer.NewDialFunc(set.Reroute),
		store:    &meter.Meter{},
		peers:    &meter.Meter{},
		workers:  &meter.Meter{},
		hostList: &meter.Meter{},
	}
}

// client returns an HTTP client whose traffic the given meter counts.
func (m *meters) client(counted *meter.Meter) *http.Client {
	return dialer.NewClient(counted.Dial(m.dial))
}

// publishMetrics publishes the daemon's metrics.
func (d *Daemon) publishMetrics() {
	d.metrics.PublishRuntime()
	d.metrics.Gauge(counter.StoreReads, func() int64 { return d.store.Calls().Reads })
	d.metrics.Gauge(counter.StoreWrites, func() int64 { return d.store.Calls().Writes })
	d.metrics.Gauge(counter.StoreWatches, func() int64 { return d.store.Calls().WatchesWaiting })
	d.metrics.Gauge(counter.StoreBytes, d.meters.store.Bytes)
	d.metrics.Gauge(counter.PeerBytes, d.meters.peers.Bytes)
	d.metrics.Gauge(counter.WorkerBytes, d.meters.workers.Bytes)
	d.metrics.Gauge(counter.HostListBytes, d.meters.hostList.Bytes)
	d.metrics.Publish(counter.Requests, expvar.Func(func() any { return d.requests.router.Counters() }))
}
