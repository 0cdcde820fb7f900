package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer/encoder"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

var (
	errWatchIdle     = errors.New("watch received no message for too long")
	errWatchCanceled = errors.New("watch cancelled by the service")
)

// Watch implements Store. A watch breaks if it receives no message for
// Options.WatchIdle, because a dead connection looks the same as one without
// changes.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision, deliver func([]Event)) (err error) {
	if err := c.admit(ctx, call{op: "watch"}); err != nil {
		return err
	}
	c.counts.watches.Add(1)
	c.counts.waiting.Add(1)
	defer c.counts.waiting.Add(-1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(c.options.CallTimeout, func() { cancel(errWatchIdle) })
	defer idle.Stop()
	response, err := c.openWatch(ctx, prefix, after)
	c.updateBreaker(ctx, watchFailure(ctx, err))
	if err != nil {
		return &errs.StoreUnavailableError{Op: "watch", Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	err = c.follow(response.Body, idle, deliver)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	fields := recorder.Fields{"prefix": prefix, "cause": err.Error()}
	c.options.Recorder.Record(time.Now(), EventWatchBroken, fields)
	if errors.Is(err, errs.ErrNotFound) {
		return err
	}
	return &errs.StoreUnavailableError{Op: "watch", Cause: err}
}

// openWatch sends the request of a watch.
func (c *Client) openWatch(ctx context.Context, prefix string, after Revision) (*http.Response, error) {
	return c.post(ctx, encoder.PathWatch, encoder.WatchRequest{Create: encoder.WatchCreate{
		Key:           rangeStart(prefix),
		RangeEnd:      []byte(PrefixEnd(prefix)),
		StartRevision: int64(after) + 1,
	}})
}

// watchFailure returns the error of opening a watch, errWatchIdle if the service
// did not respond in time.
func watchFailure(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errWatchIdle) {
		return errWatchIdle
	}
	return err
}

// follow delivers the changes of a watch until it breaks, and returns the reason.
func (c *Client) follow(body io.Reader, idle *time.Timer, deliver func([]Event)) error {
	messages := json.NewDecoder(body)
	for {
		var message encoder.WatchResponse
		if err := messages.Decode(&message); err != nil {
			return err
		}
		idle.Reset(c.options.WatchIdle)
		result := message.Result
		switch {
		case message.Error != nil:
			return fmt.Errorf("%w: %s", errWatchCanceled, message.Error.Message)
		case result.CompactRevision > 0:
			return fmt.Errorf("compacted up to revision %d: %w", result.CompactRevision, errs.ErrNotFound)
		case result.Canceled:
			return fmt.Errorf("%w: %s", errWatchCanceled, result.CancelReason)
		case len(result.Events) > 0:
			deliver(eventsOf(result.Events))
		}
	}
}

// eventsOf converts the changes of one message of the protocol.
func eventsOf(found []encoder.Event) []Event {
	events := make([]Event, 0, len(found))
	for _, each := range found {
		event := Event{Entry: entryOf(each.KV), Deleted: each.Type == encoder.TypeDelete}
		events = append(events, event)
	}
	return events
}
