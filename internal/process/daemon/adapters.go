package daemon

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/administrator"
	"github.com/kumquatstack/kumquatstack/internal/process/configurer"
	"github.com/kumquatstack/kumquatstack/internal/process/merger"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// configurations adapts the configurer to the interface that the administrator needs.
type configurations struct {
	*configurer.Configurer
}

var _ administrator.Configurations = configurations{}

// Apply implements administrator.Configurations.
func (c configurations) Apply(ctx context.Context, document []byte, base int64) (administrator.Change, error) {
	result, err := c.Configurer.Apply(ctx, document, base)
	return administrator.Change(result), err
}

// SetDataCentre implements administrator.Configurations.
func (c configurations) SetDataCentre(ctx context.Context, name string, out bool) (administrator.Change, error) {
	result, err := c.Configurer.SetDataCentre(ctx, name, out)
	return administrator.Change(result), err
}

// memberDirectory adapts the daemon's view of the group to the interface that the administrator
// needs.
type memberDirectory struct {
	daemon *Daemon
}

var _ administrator.Members = memberDirectory{}

// versionTimeout is the timeout of the call that asks a peer which version it has in force.
const versionTimeout = 500 * time.Millisecond

// Daemons implements administrator.Members. It asks each peer for its version, as the peer's last
// heartbeat may be older than a change of the version.
func (v memberDirectory) Daemons(ctx context.Context, now time.Time) []*kumquatv1.DaemonStatus {
	d := v.daemon
	version, _ := d.configurer.VersionAndProofAge(now)
	self := &kumquatv1.DaemonStatus{
		Incarnation:          d.group.Incarnation(),
		Address:              d.settings.Advertise.Peers,
		DataCentre:           d.settings.DataCentre,
		Region:               d.settings.Region,
		ConfigurationVersion: version,
		Reachable:            true,
		Leaving:              d.servers.leaving.Load(),
	}
	for _, partition := range d.owner.Partitions() {
		self.Partitions = append(self.Partitions, string(partition))
	}
	slices.Sort(self.Partitions)
	daemons := []*kumquatv1.DaemonStatus{self}
	var queries sync.WaitGroup
	for _, peer := range d.group.Peers() {
		status := &kumquatv1.DaemonStatus{
			Incarnation:          &kumquatv1.Incarnation{Daemon: peer.Daemon, Number: peer.Incarnation},
			Address:              peer.Address,
			DataCentre:           peer.DataCentre,
			Region:               peer.Region,
			ConfigurationVersion: peer.State.GetConfigurationVersion(),
			Reachable:            peer.IsReachable(now),
			Leaving:              peer.IsLeaving(),
		}
		for _, partition := range d.owner.PartitionsOf(peer.Daemon, peer.Incarnation) {
			status.Partitions = append(status.Partitions, string(partition))
		}
		daemons = append(daemons, status)
		queries.Go(func() { v.fetchVersion(ctx, status) })
	}
	queries.Wait()
	slices.SortFunc(daemons, func(x, y *kumquatv1.DaemonStatus) int {
		return cmp.Compare(x.Incarnation.Daemon, y.Incarnation.Daemon)
	})
	return daemons
}

// fetchVersion asks a peer for the version that it has in force. If the peer doesn't answer, the
// status keeps the version of the peer's last heartbeat.
func (v memberDirectory) fetchVersion(ctx context.Context, status *kumquatv1.DaemonStatus) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	// The request claims to know a version later than any, so that the document isn't sent.
	req := &kumquatv1.FetchConfigurationRequest{KnownVersion: math.MaxInt64}
	if resp, err := v.daemon.dialer.Peer(status.Address).FetchConfiguration(ctx, req); err == nil {
		status.ConfigurationVersion, status.Reachable = resp.Version, true
	}
}

// EventSources implements administrator.Members.
func (v memberDirectory) EventSources() []merger.Source {
	d := v.daemon
	sources := []merger.Source{{Daemon: d.settings.Name, Events: d.recorder.Events}}
	for _, peer := range d.group.Peers() {
		sources = append(sources, merger.Source{Daemon: peer.Daemon, Events: d.dialer.Peer(peer.Address).Events})
	}
	return sources
}
