package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/administrator"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/responder"
	"github.com/kumquatstack/kumquatstack/internal/process/sharder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/isolator"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// openRetryDelay is the delay before a shard whose journal could not be opened is opened again.
const openRetryDelay = 500 * time.Millisecond

// leaseRenewInterval is the time between two renewals of the leases at a worker. The answers also
// tell which runs have ended.
const leaseRenewInterval = 2 * time.Second

// shards are the shards that this daemon owns.
type shards struct {
	daemon *Daemon

	mu    sync.Mutex
	owned map[owner.Partition]*ownedShard
}

// An ownedShard is a shard from its acquisition until it is lost.
type ownedShard struct {
	cancel context.CancelFunc
	// done is closed when work on the shard has stopped.
	done chan struct{}

	mu sync.Mutex
	// sharder is nil until the journal has been replayed and after work has stopped.
	sharder *sharder.Sharder
}

// newShards returns a set without shards, which passes confirmed intents to the shards that are
// added.
func newShards(d *Daemon) *shards {
	s := &shards{daemon: d, owned: make(map[owner.Partition]*ownedShard)}
	d.watcher.Subscribe(administrator.IntentPrefix, s.ingest)
	return s
}

// find returns the shard of a name if this daemon owns it and has opened it.
func (s *shards) find(name string) (responder.Shard, bool) {
	s.mu.Lock()
	shard, ok := s.owned[owner.Partition(name)]
	s.mu.Unlock()
	if !ok {
		return nil, false
	}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.sharder == nil {
		return nil, false
	}
	return servedShard{shard.sharder}, true
}

// servedShard adapts a shard to the interface that serves peers.
type servedShard struct {
	*sharder.Sharder
}

// ShardStatus implements responder.Shard.
func (s servedShard) ShardStatus(_ context.Context, req *kumquatv1.ShardStatusRequest) (*kumquatv1.ShardStatusResponse, error) {
	return s.Status(req), nil
}

// acquire opens a shard in the background and starts work on it.
func (s *shards) acquire(partition owner.Partition, epoch owner.Epoch) {
	ctx, cancel := context.WithCancel(context.Background())
	shard := &ownedShard{cancel: cancel, done: make(chan struct{})}
	s.mu.Lock()
	s.owned[partition] = shard
	s.mu.Unlock()
	go func() {
		defer close(shard.done)
		s.run(ctx, shard, partition, epoch)
	}()
}

// lose stops work on a shard and waits until it has stopped.
func (s *shards) lose(partition owner.Partition) {
	s.mu.Lock()
	shard, ok := s.owned[partition]
	delete(s.owned, partition)
	s.mu.Unlock()
	if ok {
		shard.cancel()
		<-shard.done
	}
}

// close stops work on all shards.
func (s *shards) close() {
	s.mu.Lock()
	var partitions []owner.Partition
	for partition := range s.owned {
		partitions = append(partitions, partition)
	}
	s.mu.Unlock()
	for _, partition := range partitions {
		s.lose(partition)
	}
}

// run opens a shard, retrying until it succeeds, and works on it. It gives up when it is fenced,
// since another daemon then owns the shard.
func (s *shards) run(ctx context.Context, shard *ownedShard, partition owner.Partition, epoch owner.Epoch) {
	for ctx.Err() == nil {
		err := s.runOnce(ctx, shard, partition, epoch)
		if err == nil || ctx.Err() != nil || errors.Is(err, errs.ErrFenced) {
			return
		}
		s.daemon.recorder.Record(time.Now(), EventShardOpenFailed, recorder.Fields{
			"partition": string(partition),
			"reason":    err.Error(),
		})
		pauser.Sleep(ctx, openRetryDelay)
	}
}

// runOnce opens a shard and works on it until the context ends.
func (s *shards) runOnce(ctx context.Context, shard *ownedShard, partition owner.Partition, epoch owner.Epoch) (err error) {
	protection := newIsolation(s.daemon)
	options := s.options(partition, epoch)
	options.Slowdown = protection.slowdown
	options.SlowdownLimit = isolator.SlowdownLimit
	options.OnUsage = protection.observe
	options.Interference = protection
	opened, err := sharder.Open(ctx, options)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, opened.Close()) }()
	s.daemon.recorder.Record(time.Now(), EventShardOpened, recorder.Fields{"partition": string(partition)})
	shard.set(opened)
	defer shard.set(nil)
	// The watch delivers intents confirmed from here on; those confirmed before are read here.
	for _, entry := range s.daemon.watcher.Entries(administrator.IntentPrefix) {
		s.ingestEntry(opened, entry)
	}
	var background sync.WaitGroup
	defer background.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	background.Go(func() { protection.run(ctx, opened) })
	return opened.Run(ctx)
}

func (o *ownedShard) set(opened *sharder.Sharder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sharder = opened
}

// options returns the options of a shard, filled from the daemon.
func (s *shards) options(partition owner.Partition, epoch owner.Epoch) sharder.Options {
	d := s.daemon
	return sharder.Options{
		Shard:         partition,
		DataCentre:    partition.DataCentre(),
		Epoch:         epoch,
		Store:         d.store,
		Agents:        d.agents,
		Hosts:         d.hosts.Hosts,
		Declarations:  d.requests.version,
		Authority:     d.owner,
		Policy:        placer.NewInterferenceAware(),
		Recorder:      d.recorder,
		Now:           time.Now,
		Peers:         shardPeers{d},
		RenewInterval: leaseRenewInterval,
	}
}

// ingest passes changed intents to all open shards.
func (s *shards) ingest(changes []watcher.Change) {
	s.mu.Lock()
	var opened []*sharder.Sharder
	for _, shard := range s.owned {
		shard.mu.Lock()
		if shard.sharder != nil {
			opened = append(opened, shard.sharder)
		}
		shard.mu.Unlock()
	}
	s.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			continue
		}
		for _, shard := range opened {
			s.ingestEntry(shard, change.Entry)
		}
	}
}

// ingestEntry decodes an intent from its store entry and passes it to a shard.
func (s *shards) ingestEntry(shard *sharder.Sharder, entry storer.Entry) {
	record := &kumquatv1.IntentRecord{}
	if err := proto.Unmarshal(entry.Value, record); err != nil {
		s.daemon.recorder.Record(time.Now(), EventIntentUnreadable, recorder.Fields{"reason": err.Error()})
		return
	}
	record.Revision = int64(entry.Revision)
	shard.Ingest(record)
}

// shardPeers calls the owners of other data centres' shards.
type shardPeers struct {
	daemon *Daemon
}

var _ sharder.Peers = shardPeers{}

// Adopt implements sharder.Peers.
func (p shardPeers) Adopt(ctx context.Context, dataCentre string, req *kumquatv1.AdoptRequest) (*kumquatv1.AdoptResponse, error) {
	peer, err := p.ownerOf(dataCentre)
	if err != nil {
		return nil, err
	}
	req.Shard = string(owner.ShardPartition(dataCentre))
	return peer.Adopt(ctx, req)
}

// ShardStatus implements sharder.Peers.
func (p shardPeers) ShardStatus(ctx context.Context, dataCentre string, req *kumquatv1.ShardStatusRequest) (*kumquatv1.ShardStatusResponse, error) {
	peer, err := p.ownerOf(dataCentre)
	if err != nil {
		return nil, err
	}
	req.Shard = string(owner.ShardPartition(dataCentre))
	return peer.ShardStatus(ctx, req)
}

func (p shardPeers) ownerOf(dataCentre string) (kumquatv1.Peer, error) {
	peer, ok := p.daemon.ownerClient(owner.ShardPartition(dataCentre))
	if !ok {
		return nil, eris.Wrapf(errs.ErrNotOwner, "the owner of the shard of %s is not known", dataCentre)
	}
	return peer, nil
}
