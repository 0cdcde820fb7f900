package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

func TestEndedSubmissionsExpire(t *testing.T) {
	b := newBench(t, 0, 1)
	b.lookAll(1)
	b.add("a", "urgent", oneCore(1))
	orders := b.starts()
	assertStarts(t, orders, 1)
	b.lists["r0"] = nil
	b.look("r0", End{Task: orders[0].Task, Run: 1, How: Done})
	b.pass(finalRetention + time.Second)
	if ids := b.table.Expired(10, b.now); len(ids) > 0 {
		t.Fatalf("%v expired before its end was durable", ids)
	}
	b.table.Saved(b.table.Unsaved(10))
	ids := b.table.Expired(10, b.now)
	if len(ids) != 1 {
		t.Fatalf("expired %v", ids)
	}
	if state, _ := b.table.State("a"); state != submitter.Complete {
		t.Errorf("state %s before the record is deleted", state)
	}
	b.table.Forget(ids)
	if _, known := b.table.State("a"); known || len(b.table.Expired(10, b.now)) > 0 {
		t.Error("still known")
	}
}
