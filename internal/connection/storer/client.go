package storer

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer/encoder"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

const (
	defaultCallTimeout = 2 * time.Second
	defaultRate        = 200
	defaultBurst       = 400
	defaultWatchIdle   = 30 * time.Second
	dialTimeout        = time.Second
	idleConnections    = 16
)

// Options configure a Client. Zero fields have defaults.
type Options struct {
	// Endpoint is the base URL of the service.
	Endpoint string
	HTTP     *http.Client
	// CallTimeout bounds each call but a watch.
	CallTimeout time.Duration
	// Rate is the budget in calls per second, Burst its largest unused amount.
	Rate  float64
	Burst int
	// WatchIdle is the time without a message after which a watch ends.
	WatchIdle time.Duration
	Recorder  recorder.Recorder
}

// A Client implements Store with the service's HTTP protocol. It is safe for
// concurrent use.
type Client struct {
	options Options
	breaker *breaker
	budget  *rate.Limiter
	counts  counters
}

var _ Store = (*Client)(nil)

// NewClient returns a client without calling the service.
func NewClient(options Options) *Client {
	if options.CallTimeout == 0 {
		options.CallTimeout = defaultCallTimeout
	}
	if options.Rate == 0 {
		options.Rate = defaultRate
	}
	if options.Burst == 0 {
		options.Burst = defaultBurst
	}
	if options.WatchIdle == 0 {
		options.WatchIdle = defaultWatchIdle
	}
	if options.HTTP == nil {
		options.HTTP = newHTTPClient()
	}
	if options.Recorder == nil {
		options.Recorder = recorder.Discard{}
	}
	return &Client{
		options: options,
		breaker: newBreaker(),
		budget:  rate.NewLimiter(rate.Limit(options.Rate), options.Burst),
	}
}

// newHTTPClient returns an HTTP client that keeps idle connections open.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}}
}

// Calls returns the numbers of calls made so far.
func (c *Client) Calls() Counts { return c.counts.snapshot() }

// Close closes the idle connections.
func (c *Client) Close() error {
	c.options.HTTP.CloseIdleConnections()
	return nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var response encoder.RangeResponse
	err := c.call(ctx, call{op: "get", path: encoder.PathRange, request: encoder.RangeRequest{Key: []byte(key)}, result: &response})
	if err != nil {
		return Entry{}, err
	}
	if len(response.KVs) == 0 {
		return Entry{}, errs.ErrNotFound
	}
	return entryOf(response.KVs[0]), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var response encoder.RangeResponse
	request := encoder.RangeRequest{Key: rangeStart(prefix), RangeEnd: []byte(PrefixEnd(prefix))}
	err := c.call(ctx, call{op: "list", path: encoder.PathRange, request: request, result: &response})
	if err != nil {
		return Listing{}, err
	}
	listing := Listing{Revision: Revision(response.Header.Revision)}
	for _, found := range response.KVs {
		listing.Entries = append(listing.Entries, entryOf(found))
	}
	return listing, nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, swap Swap) (Revision, error) {
	put := &encoder.PutRequest{Key: []byte(swap.Key), Value: swap.Value, Lease: int64(swap.Lease)}
	return c.transact(ctx, "compare-and-swap", swap.Key, swap.Expected, encoder.RequestOp{Put: put})
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected Revision) error {
	removal := &encoder.DeleteRangeRequest{Key: []byte(key)}
	_, err := c.transact(ctx, "delete", key, expected, encoder.RequestOp{DeleteRange: removal})
	return err
}

// transact applies one operation if a key is at the expected revision.
func (c *Client) transact(ctx context.Context, op, key string, expected Revision, operation encoder.RequestOp) (Revision, error) {
	request := encoder.TransactionRequest{
		Compare: []encoder.Compare{{
			Result:      encoder.ResultEqual,
			Target:      encoder.TargetMod,
			Key:         []byte(key),
			ModRevision: int64(expected),
		}},
		Success: []encoder.RequestOp{operation},
	}
	var response encoder.TransactionResponse
	err := c.call(ctx, call{op: op, path: encoder.PathTransaction, request: request, result: &response, write: true})
	if err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, errs.ErrConflict
	}
	return Revision(response.Header.Revision), nil
}

// DeleteRange implements Store.
func (c *Client) DeleteRange(ctx context.Context, from, to string) error {
	request := encoder.DeleteRangeRequest{Key: []byte(from), RangeEnd: []byte(to)}
	var response encoder.DeleteRangeResponse
	return c.call(ctx, call{op: "delete range", path: encoder.PathDeleteRange, request: request, result: &response, write: true})
}

// Grant implements Store. It rounds the time to live up to whole seconds, the
// unit of the protocol.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var response encoder.LeaseResponse
	err := c.call(ctx, call{op: "grant", path: encoder.PathGrant, request: encoder.GrantRequest{TTL: seconds}, result: &response, write: true})
	if err != nil {
		return 0, err
	}
	return LeaseID(response.ID), nil
}

// KeepAlive implements Store. It counts against the budget but is never refused
// by it, because a missed renewal loses the lease.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	var response encoder.KeepAliveResponse
	err := c.call(ctx, call{
		op: "keep-alive", path: encoder.PathKeepAlive, request: encoder.LeaseRequest{ID: int64(id)},
		result: &response, write: true, vital: true,
	})
	if err != nil {
		return 0, err
	}
	if response.Result.TTL <= 0 {
		return 0, errs.ErrNotFound
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	var response encoder.LeaseResponse
	return c.call(ctx, call{op: "revoke", path: encoder.PathRevoke, request: encoder.LeaseRequest{ID: int64(id)}, result: &response, write: true})
}

// entryOf converts a key-value pair of the protocol.
func entryOf(found encoder.KeyValue) Entry {
	return Entry{
		Key:      string(found.Key),
		Value:    found.Value,
		Revision: Revision(found.ModRevision),
		Lease:    LeaseID(found.Lease),
	}
}

// rangeStart returns the first key of a prefix's range. For the empty prefix it is
// a zero byte, because the protocol has no empty key.
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}
