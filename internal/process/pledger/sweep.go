package pledger

import (
	"context"
	"strconv"
	"strings"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
)

// sweep deletes the lists of incarnations that are neither registered nor named by an
// owner record, because such incarnations can no longer own a partition. Only the
// member with the lowest name sweeps.
func (p *Pledger) sweep(ctx context.Context) {
	if p.settings.Watcher == nil || p.settings.HasPartitions == nil {
		return
	}
	members := p.settings.Group.Members()
	if len(members) == 0 || members[0].Daemon != p.settings.Group.Identity().Daemon {
		return
	}
	registered := make(map[incarnation]bool, len(members))
	for _, m := range members {
		registered[incarnation{daemon: m.Daemon, number: m.Incarnation}] = true
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	for _, entry := range p.settings.Watcher.Entries(Prefix) {
		owner, ok := incarnationOf(entry)
		if !ok || registered[owner] || p.settings.HasPartitions(owner.daemon, owner.number) {
			continue
		}
		// A failed deletion is repeated in the next sweep.
		_ = p.settings.Store.Delete(ctx, entry.Key, entry.Revision)
	}
}

// incarnationOf returns the incarnation that a stored list belongs to, by the key of
// the list.
func incarnationOf(entry storer.Entry) (incarnation, bool) {
	daemon, number, found := strings.Cut(strings.TrimPrefix(entry.Key, Prefix), "/")
	parsed, err := strconv.ParseInt(number, 10, 64)
	if !found || err != nil {
		return incarnation{}, false
	}
	return incarnation{daemon: daemon, number: parsed}, true
}
