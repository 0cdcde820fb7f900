package daemon

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/administrator"
	"github.com/kumquatstack/kumquatstack/internal/process/configurer"
	"github.com/kumquatstack/kumquatstack/internal/process/merger"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// configurations offers the configurer to the administrator.
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

// directory offers the daemon's view of the members to the administrator.
type directory struct {
	daemon *Daemon
}

var _ administrator.Members = directory{}

// Daemons implements administrator.Members.
func (v directory) Daemons(now time.Time) []*kumquatv1.DaemonStatus {
	d := v.daemon
	version, _ := d.configurer.State(now)
	self := &kumquatv1.DaemonStatus{
		Incarnation:          d.group.Self(),
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
	daemons := []*kumquatv1.DaemonStatus{self}
	for _, peer := range d.group.Peers() {
		daemons = append(daemons, &kumquatv1.DaemonStatus{
			Incarnation:          &kumquatv1.Incarnation{Daemon: peer.Daemon, Number: peer.Incarnation},
			Address:              peer.Address,
			DataCentre:           peer.DataCentre,
			Region:               peer.Region,
			ConfigurationVersion: peer.State.GetConfigurationVersion(),
			Reachable:            peer.Reachable(now),
			Leaving:              peer.Leaving(),
		})
	}
	return daemons
}

// Sources implements administrator.Members.
func (v directory) Sources() []merger.Source {
	d := v.daemon
	sources := []merger.Source{{Daemon: d.settings.Name, Events: d.recorder.Events}}
	for _, peer := range d.group.Peers() {
		sources = append(sources, merger.Source{Daemon: peer.Daemon, Events: d.dialer.Peer(peer.Address).Events})
	}
	return sources
}
