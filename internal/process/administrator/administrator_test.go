package administrator

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// shardOwner is a peer that returns an empty status for a shard.
type shardOwner struct{ kumquatv1.Peer }

func (shardOwner) ShardStatus(context.Context, *kumquatv1.ShardStatusRequest) (*kumquatv1.ShardStatusResponse, error) {
	return &kumquatv1.ShardStatusResponse{}, nil
}

// TestSurveyWaitsForAnOwner surveys while the only shard has no owner at first. A
// survey without a retry would report the shard as missing during each failover.
func TestSurveyWaitsForAnOwner(t *testing.T) {
	declared, err := declarer.Parse("declarations", []byte("regions:\n- name: north-ga\n  dataCentres:\n  - name: atl-a\n"))
	if err != nil {
		t.Fatal(err)
	}
	var asked atomic.Int64
	a := New(Settings{OwnerClient: func(owner.Partition) (kumquatv1.Peer, bool) { return shardOwner{}, asked.Add(1) > 3 }})
	s := a.surveyWithRetry(t.Context(), declared, &kumquatv1.ShardStatusRequest{})
	if len(s.shards) != 1 || len(s.missing) != 0 {
		t.Errorf("%d shards answered, %v are missing", len(s.shards), s.missing)
	}
}
