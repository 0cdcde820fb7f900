package administrator

import (
	"context"
	"fmt"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/lifecycler"
)

// checkRemovals refuses a document that removes a data centre which may still have
// tasks. Without the data centre its shard would have no owner, and no daemon would
// manage its tasks.
func (a *Administrator) checkRemovals(ctx context.Context, wanted *declarer.Declarations) error {
	inForce := a.settings.Configurations.Current().Declarations
	if inForce == nil {
		return nil
	}
	for _, centre := range inForce.DataCentreNames() {
		if wanted.RegionOf(centre) != "" {
			continue
		}
		if reason := a.reasonToKeep(ctx, inForce, centre); reason != "" {
			return &errs.RefusedError{
				What: "removal of data centre " + centre,
				Why:  reason,
				Remedy: fmt.Sprintf("take it out of service with `kumquat datacentre out %s`, "+
					"wait until its tasks have moved or ended, and apply again", centre),
			}
		}
	}
	return nil
}

// reasonToKeep returns why a data centre can't be removed, or "" if it can be.
func (a *Administrator) reasonToKeep(ctx context.Context, inForce *declarer.Declarations, centre string) string {
	if !inForce.IsOut(centre) {
		return "it is in service"
	}
	response := a.shardStatus(ctx, centre, &kumquatv1.ShardStatusRequest{IncludeTasks: true})
	if response == nil {
		return "the owner of its tasks does not answer"
	}
	remaining := 0
	for _, encoded := range response.Tasks {
		if task := lifecycler.FromProto(encoded); !task.Ended() || task.IsMoveUnconfirmed() {
			remaining++
		}
	}
	if remaining > 0 {
		return fmt.Sprintf("%d of its tasks have neither moved nor ended", remaining)
	}
	return ""
}
