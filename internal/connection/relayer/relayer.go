// Package relayer implements the protocol by which a daemon that received a
// client's request passes it to the daemon that owns the submission's part. A
// part is one partition of the submissions.
package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Paths of the protocol between daemons.
const (
	submissionPath = "/owner/submission"
	cancelPath     = "/owner/cancel"
	statePath      = "/owner/state"
	pendingPath    = "/owner/pending"
	loadPath       = "/owner/load"
	termPath       = "/owner/term"
	acceptPath     = "/owner/accept"
	revokePath     = "/owner/revoke"
	offerPath      = "/owner/offer"
)

// Bounds of the protocol.
const (
	// maxBodyBytes bounds a submission on its way between daemons.
	maxBodyBytes = 4 << 20
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds the opening of a connection to a daemon.
	dialTimeout = 300 * time.Millisecond
	// idlePerPeer bounds the idle connections to one daemon.
	idlePerPeer = 4
)

// Errors of calls to the owner.
var (
	// ErrNotOwner says that the daemon does not own the part.
	ErrNotOwner = errors.New("daemon does not own the part")
	// ErrNoEffect says that the call provably had no effect.
	ErrNoEffect = errors.New("call had no effect")
	// ErrUnsupported says that the daemon does not serve the call, since it is of an earlier
	// version.
	ErrUnsupported = errors.New("daemon does not serve the call")
	// ErrConnectionRefused says that no process listens at the owner's address.
	ErrConnectionRefused = errors.New("owner's address refuses connections")
)

// A Target is a part and the address of its owner.
type Target struct {
	Address string
	Part    int
}

// An Owner serves calls about the submissions of its part.
type Owner interface {
	// Submit queues an accepted submission and returns the load that includes it.
	Submit(sub *submitter.Submission) partitioner.Receipt
	// Cancel cancels a submission whose cancellation is stored.
	Cancel(id string)
	// State returns the state of a submission and whether the owner knows it.
	State(id string) (state submitter.State, known bool)
	// Pending returns the number of a queue's submissions that have not begun.
	Pending(queue string) int
	// Load returns the load of the part.
	Load() partitioner.Load
	// Offer returns what the part offers for some needs.
	Offer(needs []partitioner.Need) partitioner.Offer
}

// A SubmissionStore stores submissions and cancellations for other daemons, whose
// own calls the store rejects. Its errors wrap ErrNoEffect if nothing was or will
// be stored.
type SubmissionStore interface {
	// Accept stores a submission.
	Accept(ctx context.Context, sub submitter.Submission) error
	// Revoke stores a cancellation and reports whether the submission is known.
	Revoke(ctx context.Context, id string) (known bool, err error)
}

// A stateResponse is the response to a query for the state of a submission.
type stateResponse struct {
	State submitter.State `json:"state"`
	Known bool            `json:"known"`
}

// A pendingResponse is the response to a query for a queue.
type pendingResponse struct {
	Pending int `json:"pending"`
}

// A TermStatus is what a daemon reports about its terms as the owner of a part.
type TermStatus struct {
	// Instance identifies the daemon's process; each process of the same daemon has
	// its own.
	Instance string `json:"instance"`
	// Serves is true if the daemon serves as the part's owner.
	Serves bool `json:"serves"`
	// Ended is the fencing token of the last term that has ended at this daemon;
	// zero if there was none. The daemon sends no more commands of that term.
	Ended int64 `json:"ended,omitempty"`
	// Settled are the runners for which no stop command was in progress when that
	// term ended.
	Settled []string `json:"settled,omitempty"`
	// LeasesMS is, by runner, how long from this report on the leases of that term may
	// last, in milliseconds. Those on other runners have lapsed. It is null if not known.
	LeasesMS map[string]int64 `json:"leasesMs"`
}

// A Client calls the owners of parts. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that opens connections with dial.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      2 << 10,
		WriteBufferSize:     2 << 10,
		DisableCompression:  true,
	}}}
}

// Submit sends an accepted submission to the owner and returns the owner's answer.
func (c *Client) Submit(ctx context.Context, to Target, sub *submitter.Submission) (receipt partitioner.Receipt, err error) {
	body, err := sub.Encode()
	if err != nil {
		return receipt, err
	}
	err = c.call(ctx, http.MethodPost, to, submissionPath, "", body, &receipt)
	return receipt, err
}

// Offer returns what the owner's part offers for some needs.
func (c *Client) Offer(ctx context.Context, to Target, needs []partitioner.Need) (offer partitioner.Offer, err error) {
	body, err := json.Marshal(needs)
	if err != nil {
		return offer, err
	}
	err = c.call(ctx, http.MethodPost, to, offerPath, "", body, &offer)
	return offer, err
}

// Accept makes the owner store a submission.
func (c *Client) Accept(ctx context.Context, to Target, sub *submitter.Submission) error {
	body, err := sub.Encode()
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, to, acceptPath, "", body, nil)
}

// Revoke makes the owner store a cancellation and reports whether the submission
// is known.
func (c *Client) Revoke(ctx context.Context, to Target, id string) (known bool, err error) {
	var response stateResponse
	err = c.call(ctx, http.MethodPost, to, revokePath, id, nil, &response)
	return response.Known, err
}

// Cancel notifies the owner of a stored cancellation.
func (c *Client) Cancel(ctx context.Context, to Target, id string) error {
	return c.call(ctx, http.MethodPost, to, cancelPath, id, nil, nil)
}

// State returns the state of a submission and whether the owner knows it.
func (c *Client) State(ctx context.Context, to Target, id string) (state submitter.State, known bool, err error) {
	var response stateResponse
	err = c.call(ctx, http.MethodGet, to, statePath, id, nil, &response)
	return response.State, response.Known, err
}

// Pending returns the number of a queue's submissions that have not begun.
func (c *Client) Pending(ctx context.Context, to Target, queue string) (n int, err error) {
	var response pendingResponse
	err = c.call(ctx, http.MethodGet, to, pendingPath, queue, nil, &response)
	return response.Pending, err
}

// Load returns the load of the owner's part.
func (c *Client) Load(ctx context.Context, to Target) (load partitioner.Load, err error) {
	err = c.call(ctx, http.MethodGet, to, loadPath, "", nil, &load)
	return load, err
}

// Term returns what a daemon reports about its process and its terms as the
// owner of a part.
func (c *Client) Term(ctx context.Context, to Target) (term TermStatus, err error) {
	err = c.call(ctx, http.MethodGet, to, termPath, "", nil, &term)
	return term, err
}

// call makes one call to the owner of a part and decodes the response, which is discarded
// if response is nil. The name is the id of a submission or the name of a queue.
func (c *Client) call(ctx context.Context, method string, to Target, path, name string, body []byte, response any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("call owner of part %d at %s: %w", to.Part, to.Address, err)
		}
	}()
	target := "http://" + to.Address + path + "?part=" + strconv.Itoa(to.Part) + "&name=" + url.QueryEscape(name)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if isRefused(err) {
			return errors.Join(ErrConnectionRefused, ErrNoEffect, err)
		}
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		return errors.Join(ErrNotOwner, ErrNoEffect)
	case http.StatusServiceUnavailable:
		return ErrNoEffect
	case http.StatusNotFound:
		return errors.Join(ErrUnsupported, ErrNoEffect)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected status %s", resp.Status)
	}
	if response == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(resp.Body).Decode(response)
}

// isRefused reports whether a call failed because its connection was refused.
func isRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && strings.Contains(op.Err.Error(), "refused")
}

// NewHandler returns a handler that serves the protocol. The function term returns the
// status of this daemon's terms as the owner of a part, owner returns nil while the daemon
// does not own the part, and store returns the store of submissions.
func NewHandler(term func(part int) TermStatus, owner func(part int) Owner, store func() SubmissionStore) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+termPath, func(w http.ResponseWriter, r *http.Request) {
		reply(w, term(partOf(r)))
	})
	handle := func(path string, serve func(o Owner, name string, w http.ResponseWriter, r *http.Request)) {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			o := owner(partOf(r))
			if o == nil {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			serve(o, r.URL.Query().Get("name"), w, r)
		})
	}
	handle("POST "+submissionPath, serveSubmission)
	handle("POST "+acceptPath, func(_ Owner, _ string, w http.ResponseWriter, r *http.Request) { serveAccept(store(), w, r) })
	handle("POST "+revokePath, func(_ Owner, name string, w http.ResponseWriter, r *http.Request) {
		known, err := store().Revoke(r.Context(), name)
		if err != nil {
			w.WriteHeader(statusOf(err))
			return
		}
		reply(w, stateResponse{Known: known})
	})
	handle("POST "+cancelPath, func(o Owner, name string, _ http.ResponseWriter, _ *http.Request) { o.Cancel(name) })
	handle("GET "+statePath, func(o Owner, name string, w http.ResponseWriter, _ *http.Request) {
		state, known := o.State(name)
		reply(w, stateResponse{State: state, Known: known})
	})
	handle("GET "+pendingPath, func(o Owner, name string, w http.ResponseWriter, _ *http.Request) {
		reply(w, pendingResponse{Pending: o.Pending(name)})
	})
	handle("POST "+offerPath, serveOffer)
	handle("GET "+loadPath, func(o Owner, _ string, w http.ResponseWriter, _ *http.Request) { reply(w, o.Load()) })
	return mux
}

// partOf returns the part that a request names, or -1, which has no owner, if the
// request names none.
func partOf(r *http.Request) int {
	part, err := strconv.Atoi(r.URL.Query().Get("part"))
	if err != nil {
		return -1
	}
	return part
}

func serveSubmission(o Owner, _ string, w http.ResponseWriter, r *http.Request) {
	if sub := readSubmission(w, r); sub != nil {
		reply(w, o.Submit(sub))
	}
}

func serveOffer(o Owner, _ string, w http.ResponseWriter, r *http.Request) {
	var needs []partitioner.Need
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&needs); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, o.Offer(needs))
}

func serveAccept(store SubmissionStore, w http.ResponseWriter, r *http.Request) {
	sub := readSubmission(w, r)
	if sub == nil {
		return
	}
	if err := store.Accept(r.Context(), *sub); err != nil {
		w.WriteHeader(statusOf(err))
	}
}

// statusOf returns the status for a failed call: 503 if it had no effect, 504 if
// it may have had one.
func statusOf(err error) int {
	if errors.Is(err, ErrNoEffect) {
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// readSubmission returns the submission in a request's body. If the body is
// invalid, it writes an error response and returns nil.
func readSubmission(w http.ResponseWriter, r *http.Request) *submitter.Submission {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	sub, err := submitter.Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	return sub
}

func reply(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(response)
}
