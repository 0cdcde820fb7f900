package member

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// Guards against a lease that lapses before its first renewal because the registration
// has taken long.
func TestLeaseLapsesAfterSlowRegistration(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := keyvalue.NewFake()
		store.SetFaults(keyvalue.Faults{DelayMillis: 900})
		registrar := NewRegistrar(store, Identity{Daemon: "atl-a-1"}, recorder.Discard{}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		var run sync.WaitGroup
		run.Go(func() { _ = registrar.Run(ctx) })
		defer run.Wait()
		defer cancel()
		<-registrar.Ready()
		began := time.Now()
		for end := began.Add(2 * LeaseTTL); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if lease := registrar.Lease(); !lease.IsValid(time.Now()) {
				t.Fatalf("lease %+v is invalid %s after the registration", lease, time.Since(began))
			}
		}
	})
}
