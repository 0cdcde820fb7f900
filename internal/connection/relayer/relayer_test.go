package relayer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// An owner is the owner of one part.
type owner struct {
	part int
	subs map[string]*submitter.Submission
}

func (o *owner) Submit(sub *submitter.Submission) partitioner.Receipt {
	o.subs[sub.ID] = sub
	return partitioner.Receipt{Load: o.Load(), Unable: []partitioner.Need{{Service: sub.Queue}}}
}

func (o *owner) Offer(needs []partitioner.Need) partitioner.Offer {
	return partitioner.Offer{IsAble: len(needs) == 1, HasRoom: needs[0].Tasks < 3}
}

func (o *owner) Load() partitioner.Load {
	return partitioner.Load{Capacity: 10, Reserved: int64(len(o.subs))}
}

func (o *owner) Cancel(id string) { delete(o.subs, id) }

func (o *owner) State(id string) (submitter.State, bool) {
	_, known := o.subs[id]
	return submitter.Queued, known
}

func (o *owner) Pending(string) int { return len(o.subs) }

// A submissionStore returns err, which may be nil, from every call.
type submissionStore struct{ err error }

func (s submissionStore) Accept(context.Context, submitter.Submission) error { return s.err }

func (s submissionStore) Revoke(context.Context, string) (bool, error) { return true, s.err }

// serve starts a daemon that owns part 1, and returns a client and its address.
func serve(t *testing.T, storeErr error) (client *Client, address string) {
	t.Helper()
	owned := &owner{part: 1, subs: make(map[string]*submitter.Submission)}
	server := httptest.NewServer(NewHandler(func(part int) TermStatus {
		return TermStatus{Instance: "d1-x", Serves: part == owned.part}
	}, func(part int) Owner {
		if part == owned.part {
			return owned
		}
		return nil
	}, func() SubmissionStore { return submissionStore{storeErr} }))
	t.Cleanup(server.Close)
	client = NewClient((&net.Dialer{}).DialContext)
	t.Cleanup(client.http.CloseIdleConnections)
	return client, strings.TrimPrefix(server.URL, "http://")
}

func submission(id string) *submitter.Submission {
	return &submitter.Submission{ID: id, Queue: "q", Steps: []submitter.Step{{Count: 1}}}
}

func TestOwnerOfAPart(t *testing.T) {
	t.Parallel()
	client, address := serve(t, nil)
	ctx, to := context.Background(), Target{Address: address, Part: 1}
	if load, err := client.Submit(ctx, to, submission("a")); err != nil || load.Reserved != 1 || len(load.Unable) != 1 {
		t.Fatalf("Submit returned %+v, error %v; want 1 reserved and a need", load, err)
	}
	if offer, err := client.Offer(ctx, to, []partitioner.Need{{Service: "s", Tasks: 4}}); err != nil || !offer.IsAble || offer.HasRoom {
		t.Errorf("Offer returned %+v, error %v; want one without room", offer, err)
	}
	if state, known, err := client.State(ctx, to, "a"); err != nil || !known || state != submitter.Queued {
		t.Errorf("State of a queued submission: %q, known %v, error %v", state, known, err)
	}
	if _, known, err := client.State(ctx, to, "b"); err != nil || known {
		t.Errorf("State of an unknown submission: known %v, error %v", known, err)
	}
	if n, err := client.Pending(ctx, to, "q"); err != nil || n != 1 {
		t.Errorf("%d pending, error %v; want 1", n, err)
	}
	if load, err := client.Load(ctx, to); err != nil || load.Reserved != 1 {
		t.Errorf("load %+v, error %v; want 1 reserved", load, err)
	}
	if term, err := client.Term(ctx, to); err != nil || term.Instance != "d1-x" || !term.Serves {
		t.Errorf("term %+v, error %v; want the serving instance d1-x", term, err)
	}
	if err := client.Cancel(ctx, to, "a"); err != nil {
		t.Error(err)
	}
}

func TestOtherParts(t *testing.T) {
	t.Parallel()
	client, address := serve(t, nil)
	ctx, to := context.Background(), Target{Address: address}
	if _, err := client.Submit(ctx, to, submission("a")); !errors.Is(err, ErrNotOwner) || !errors.Is(err, ErrNoEffect) {
		t.Errorf("error %v, want ErrNotOwner and ErrNoEffect", err)
	}
	if term, err := client.Term(ctx, to); err != nil || term.Serves {
		t.Errorf("term %+v, error %v; want one that doesn't serve", term, err)
	}
}

func TestDaemonOfAnEarlierVersion(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	client := NewClient((&net.Dialer{}).DialContext)
	t.Cleanup(client.http.CloseIdleConnections)
	to := Target{Address: strings.TrimPrefix(server.URL, "http://")}
	if _, err := client.Load(context.Background(), to); !errors.Is(err, ErrUnsupported) {
		t.Errorf("error %v, want ErrUnsupported", err)
	}
}

func TestOutcomeOfFailedAccept(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		storeErr    error
		hasNoEffect bool
	}{
		"nothing was stored": {ErrNoEffect, true},
		"not known":          {errors.New("no response"), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, address := serve(t, c.storeErr)
			err := client.Accept(context.Background(), Target{Address: address, Part: 1}, submission("a"))
			if err == nil || errors.Is(err, ErrNoEffect) != c.hasNoEffect {
				t.Errorf("error %v, want one that wraps ErrNoEffect only if nothing was stored", err)
			}
		})
	}
}

func TestOwnerIsGone(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	client, _ := serve(t, nil)
	if err := client.Cancel(context.Background(), Target{Address: address, Part: 1}, "a"); !errors.Is(err, ErrConnectionRefused) {
		t.Errorf("error %v, want ErrConnectionRefused", err)
	}
}
