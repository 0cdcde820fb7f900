package releaser

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// write creates a key with a value in the store.
func write(t *testing.T, store storer.Store, key string, value any) storer.Revision {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	revision, err := store.CompareAndSwap(t.Context(), storer.Swap{Key: key, Value: encoded})
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// TestPlan plans the release of a daemon that was restarted under its name. The
// partitions of the earlier incarnation can be released, those of the present one can't,
// because it is running.
func TestPlan(t *testing.T) {
	store := keyvalue.NewFake()
	const name = "atl-a-1"
	now := int64(write(t, store, member.Key(name), map[string]string{"daemon": name, "token": "new"}))
	write(t, store, owner.Key("claims:1"), owner.Record{Owner: name, Incarnation: now, Token: "new"})
	r := New(Settings{Store: store})
	var refused *errs.RefusedError
	if dead, err := r.plan(t.Context(), []string{name}); !errors.As(err, &refused) {
		t.Errorf("planned %v, error %v, want a refusal because the daemon is registered", dead, err)
	}
	former := now - 1
	write(t, store, owner.Key("claims:2"), owner.Record{Owner: name, Incarnation: former, Token: "old"})
	write(t, store, owner.Key("claims:3"), owner.Record{Owner: name, Incarnation: former, Token: "new"})
	dead, err := r.plan(t.Context(), []string{name})
	if err != nil || len(dead) != 1 || dead[0].Incarnation.Number != former || len(dead[0].Partitions) != 1 || dead[0].Partitions[0] != "claims:2" {
		t.Errorf("planned %v, error %v, want only claims:2 of the earlier incarnation", dead, err)
	}
}

// TestPlanWaitsForAllLeases plans the release of two dead daemons while the lease of
// one of them has not lapsed yet. A plan of the other one alone could not be confirmed
// once that lease has lapsed.
func TestPlanWaitsForAllLeases(t *testing.T) {
	store := keyvalue.NewFake()
	const lapsed, registered = "atl-a-1", "atl-a-2"
	incarnation := int64(write(t, store, member.Key(registered), map[string]string{"daemon": registered, "token": "b"}))
	write(t, store, owner.Key("claims:1"), owner.Record{Owner: lapsed, Incarnation: incarnation - 1, Token: "a"})
	write(t, store, owner.Key("claims:2"), owner.Record{Owner: registered, Incarnation: incarnation, Token: "b"})
	var refused *errs.RefusedError
	dead, err := New(Settings{Store: store}).plan(t.Context(), []string{lapsed, registered})
	if !errors.As(err, &refused) || !strings.Contains(refused.Why, registered) {
		t.Errorf("planned %v, error %v, want a refusal because %s is registered", dead, err, registered)
	}
}
