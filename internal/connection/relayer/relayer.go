// Package relayer carries what clients ask of one daemon to the daemon that
// owns a part of the submissions.
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
	termPath       = "/owner/term"
	acceptPath     = "/owner/accept"
	revokePath     = "/owner/revoke"
)

// Bounds of the protocol.
const (
	// maxBodyBytes bounds a submission on its way between daemons.
	maxBodyBytes = 4 << 20
	// idleTimeout closes connections between daemons that are not used.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds the set-up of a connection between daemons.
	dialTimeout = 300 * time.Millisecond
	// idlePerPeer is the number of connections kept to one daemon.
	idlePerPeer = 4
)

// Errors of calls to the owner.
var (
	// ErrNotOwner says that the daemon does not own the part.
	ErrNotOwner = errors.New("daemon is not the owner")
	// ErrNoEffect says that the owner has provably not done what was asked.
	ErrNoEffect = errors.New("owner has not done it")
	// ErrConnectionRefused says that nothing listens at the owner's address.
	ErrConnectionRefused = errors.New("owner's process is gone")
)

// A Target is the owner of a part.
type Target struct {
	Address string
	Part    int
}

// An Owner answers for the submissions of its part.
type Owner interface {
	// Submit takes in a submission and returns the load with it.
	Submit(sub *submitter.Submission) partitioner.Load
	Cancel(id string)
	State(id string) (state submitter.State, known bool)
	Pending(queue string) int
}

// A SubmissionStore makes requests of clients durable for daemons that the store turns
// away. Its errors wrap ErrNotDone if nothing was or will be stored.
type SubmissionStore interface {
	// Accept stores a submission.
	Accept(ctx context.Context, sub submitter.Submission) error
	// Revoke stores a cancellation and reports whether the submission is known.
	Revoke(ctx context.Context, id string) (known bool, err error)
}

// A stateAnswer is the answer to a question for a state.
type stateAnswer struct {
	State submitter.State `json:"state"`
	Known bool            `json:"known"`
}

// A pendingAnswer is the answer to a question for a queue.
type pendingAnswer struct {
	Pending int `json:"pending"`
}

// A TermStatus tells of a daemon and a part.
type TermStatus struct {
	// Instance tells apart the processes of one daemon.
	Instance string `json:"instance"`
	// Serves says that the daemon serves as the part's owner.
	Serves bool `json:"serves"`
	// Ended is the fencing token of the last term that has ended here, zero if
	// there was none. No order of it will be sent any more.
	Ended int64 `json:"ended,omitempty"`
	// Settled are the runners that had no stop under way at its end.
	Settled []string `json:"settled,omitempty"`
}

// A Client calls the owner. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that opens connections with a dial function.
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

// Submit hands an accepted submission to the owner, and returns the owner's load.
func (c *Client) Submit(ctx context.Context, to Target, sub *submitter.Submission) (load partitioner.Load, err error) {
	body, err := sub.Encode()
	if err != nil {
		return load, err
	}
	err = c.call(ctx, http.MethodPost, to, submissionPath, "", body, &load)
	return load, err
}

// Accept has the owner store a submission.
func (c *Client) Accept(ctx context.Context, to Target, sub *submitter.Submission) error {
	body, err := sub.Encode()
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, to, acceptPath, "", body, nil)
}

// Revoke has the owner store a cancellation.
func (c *Client) Revoke(ctx context.Context, to Target, id string) (known bool, err error) {
	var answer stateAnswer
	err = c.call(ctx, http.MethodPost, to, revokePath, id, nil, &answer)
	return answer.Known, err
}

// Cancel tells the owner of a durable cancellation.
func (c *Client) Cancel(ctx context.Context, to Target, id string) error {
	return c.call(ctx, http.MethodPost, to, cancelPath, id, nil, nil)
}

// State asks for the state of a submission.
func (c *Client) State(ctx context.Context, to Target, id string) (state submitter.State, known bool, err error) {
	var answer stateAnswer
	err = c.call(ctx, http.MethodGet, to, statePath, id, nil, &answer)
	return answer.State, answer.Known, err
}

// Pending asks for the number of a queue's submissions that have not begun.
func (c *Client) Pending(ctx context.Context, to Target, queue string) (n int, err error) {
	var answer pendingAnswer
	err = c.call(ctx, http.MethodGet, to, pendingPath, queue, nil, &answer)
	return answer.Pending, err
}

// Term asks a daemon which process it is and whether it owns a part.
func (c *Client) Term(ctx context.Context, to Target) (term TermStatus, err error) {
	err = c.call(ctx, http.MethodGet, to, termPath, "", nil, &term)
	return term, err
}

func (c *Client) call(ctx context.Context, method string, to Target, path, name string, body []byte, answer any) (err error) {
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
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", resp.Status)
	}
	if answer == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}

func isRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && strings.Contains(op.Err.Error(), "refused")
}

// NewHandler serves the protocol. The function owner returns nil while the daemon
// does not own a part.
func NewHandler(term func(part int) TermStatus, owner func(part int) Owner, keeper func() SubmissionStore) http.Handler {
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
	handle("POST "+acceptPath, func(_ Owner, _ string, w http.ResponseWriter, r *http.Request) { serveAccept(keeper(), w, r) })
	handle("POST "+revokePath, func(_ Owner, name string, w http.ResponseWriter, r *http.Request) {
		known, err := keeper().Revoke(r.Context(), name)
		if err != nil {
			w.WriteHeader(statusOf(err))
			return
		}
		reply(w, stateAnswer{Known: known})
	})
	handle("POST "+cancelPath, func(o Owner, name string, _ http.ResponseWriter, _ *http.Request) { o.Cancel(name) })
	handle("GET "+statePath, func(o Owner, name string, w http.ResponseWriter, _ *http.Request) {
		state, known := o.State(name)
		reply(w, stateAnswer{State: state, Known: known})
	})
	handle("GET "+pendingPath, func(o Owner, name string, w http.ResponseWriter, _ *http.Request) {
		reply(w, pendingAnswer{Pending: o.Pending(name)})
	})
	return mux
}

// partOf returns the part that a request is about; -1, which has no owner, if
// it does not say.
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

func serveAccept(keeper SubmissionStore, w http.ResponseWriter, r *http.Request) {
	sub := readSubmission(w, r)
	if sub == nil {
		return
	}
	if err := keeper.Accept(r.Context(), *sub); err != nil {
		w.WriteHeader(statusOf(err))
	}
}

// statusOf tells the caller whether something may have been done.
func statusOf(err error) int {
	if errors.Is(err, ErrNoEffect) {
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// readSubmission returns a request's submission, or nil after an answer.
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

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller has gone if the write fails.
	_ = json.NewEncoder(w).Encode(answer)
}
