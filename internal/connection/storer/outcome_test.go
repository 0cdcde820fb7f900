package storer_test

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// A claim is the outcome that the client reported for one write, and whether the
// write was really applied.
type claim struct {
	swap    storer.Swap
	err     error
	applied bool
}

// check returns an error if the reported outcome contradicts what was applied.
func (c claim) check() error {
	var unknown *errs.UnknownOutcomeError
	var unavailable *errs.StoreUnavailableError
	switch {
	case c.err == nil && !c.applied:
		return fmt.Errorf("reported as applied but was not: %+v", c.swap)
	case errors.Is(c.err, errs.ErrConflict) && c.applied:
		return fmt.Errorf("reported as refused but was applied: %+v", c.swap)
	case errors.As(c.err, &unavailable) && c.applied:
		return fmt.Errorf("reported as without effect but was applied: %+v", c.swap)
	case c.err != nil && !errors.Is(c.err, errs.ErrConflict) && !errors.As(c.err, &unavailable) && !errors.As(c.err, &unknown):
		return fmt.Errorf("error is of no documented type: %w", c.err)
	}
	return nil
}

// TestOutcomesAreTrue checks that the client never reports a wrong outcome. It
// writes to a server with changing faults and compares each reported outcome
// with the table of the server.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := keyvalue.NewFake()
		server := httptest.NewServer(keyvalue.NewHandler(fake))
		defer server.Close()
		defer server.CloseClientConnections()
		client := storer.NewClient(storer.Options{Endpoint: server.URL, CallTimeout: 15 * time.Millisecond})
		defer func() { _ = client.Close() }()
		for step := range rapid.IntRange(1, 15).Draw(t, "steps") {
			fake.SetFaults(rapid.SampledFrom([]keyvalue.Faults{
				{}, {}, {LoseAnswers: 1}, {LoseRequests: 1}, {Outage: true}, {Outage: true, Hang: true}, {DelayMillis: 40},
			}).Draw(t, "faults"))
			before, _, _ := fake.Table().Get(time.Now(), "key")
			expected := before.Revision
			if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				expected += 1000
			}
			swap := storer.Swap{Key: "key", Value: fmt.Appendf(nil, "token-%d", step), Expected: expected}
			_, err := client.CompareAndSwap(t.Context(), swap)
			after, _, _ := fake.Table().Get(time.Now(), "key")
			applied := string(after.Value) == string(swap.Value)
			if mismatch := (claim{swap: swap, err: err, applied: applied}).check(); mismatch != nil {
				t.Fatal(mismatch)
			}
		}
	})
}
