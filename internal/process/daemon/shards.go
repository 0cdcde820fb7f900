package daemon

import (
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/responder"
)

type shards struct{}

func newShards(*Daemon) *shards                        { return &shards{} }
func (s *shards) find(string) (responder.Shard, bool)  { return nil, false }
func (s *shards) acquire(owner.Partition, owner.Epoch) {}
func (s *shards) lose(owner.Partition)                 {}
func (s *shards) close()                               {}
