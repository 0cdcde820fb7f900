package recorder

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/twitchtv/twirp"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	// eventOverhead is the memory that an event takes besides its fields, in bytes.
	eventOverhead = 256
	// fieldOverhead is the memory that a field takes besides its text, in bytes.
	fieldOverhead = 48
	// defaultLimit is the maximum number of events returned if the request sets none.
	defaultLimit = 1000
)

// A Ring keeps the newest events in memory, up to a limit, and writes all events to the log. It is
// safe for concurrent use.
type Ring struct {
	daemon string
	limit  int
	clock  func() uint64
	logger log.Interface

	mu      sync.Mutex
	events  []*kumquatv1.Event // oldest first, from head on
	head    int                // index of the oldest event kept
	bytes   int                // size of the events kept
	dropped int64              // number of events dropped so far
}

var _ Recorder = (*Ring)(nil)

// NewRing returns a ring that takes up to limit bytes. The clock gives the events' stamps; it must
// not go backwards.
func NewRing(daemon string, limit int, clock func() uint64, logger log.Interface) *Ring {
	return &Ring{daemon: daemon, limit: limit, clock: clock, logger: logger}
}

// Record implements Recorder.
func (r *Ring) Record(now time.Time, number Number, fields Fields) {
	entry := Lookup(number)
	r.store(&kumquatv1.Event{
		Daemon: r.daemon,
		Number: int32(number),
		Name:   entry.Name,
		Fields: maps.Clone(fields),
	})
	r.writeLog(now, number, entry, fields)
}

// store appends an event and drops the oldest ones beyond the limit. It stamps the event under the
// lock, so that the events are ordered by stamp.
func (r *Ring) store(event *kumquatv1.Event) {
	size := sizeOf(event)
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Clock = r.clock()
	r.events = append(r.events, event)
	r.bytes += size
	for r.bytes > r.limit && r.head < len(r.events)-1 {
		r.bytes -= sizeOf(r.events[r.head])
		r.events[r.head] = nil
		r.head++
		r.dropped++
	}
	if r.head > len(r.events)/2 {
		r.events = append([]*kumquatv1.Event(nil), r.events[r.head:]...)
		r.head = 0
	}
}

func (r *Ring) writeLog(now time.Time, number Number, entry Entry, fields Fields) {
	logged := make(log.Fields, len(fields)+3)
	for key, value := range fields {
		logged[key] = value
	}
	logged["event"] = int(number)
	logged["recordedBy"] = r.daemon
	logged["at"] = now.UTC().Format(time.RFC3339Nano)
	line := r.logger.WithFields(logged)
	switch entry.Level {
	case log.DebugLevel:
		line.Debug(entry.Name)
	case log.WarnLevel:
		line.Warn(entry.Name)
	case log.ErrorLevel:
		line.Error(entry.Name)
	default:
		line.Info(entry.Name)
	}
}

// Since returns up to limit events that match the filter and whose clock is greater than since, in
// ascending order, and the number of events dropped so far. If there are more than limit, it
// returns the oldest of them, or the newest if since is zero.
func (r *Ring) Since(since uint64, limit int, filter Filter) ([]*kumquatv1.Event, int64) {
	if limit <= 0 {
		limit = defaultLimit
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*kumquatv1.Event
	for _, event := range r.events[r.head:] {
		if event.Clock <= since || !filter.Matches(event) {
			continue
		}
		if since > 0 && len(found) == limit {
			break
		}
		found = append(found, event)
	}
	return found[max(0, len(found)-limit):], r.dropped
}

// Events answers a peer's request for recorded events.
func (r *Ring) Events(_ context.Context, req *kumquatv1.EventsRequest) (*kumquatv1.EventsResponse, error) {
	filter, err := ParseFilter(req.Filter)
	if err != nil {
		return nil, twirp.InvalidArgumentError("filter", err.Error())
	}
	events, dropped := r.Since(req.SinceClock, int(req.Limit), filter)
	return &kumquatv1.EventsResponse{Events: events, Dropped: dropped}, nil
}

func sizeOf(event *kumquatv1.Event) int {
	size := eventOverhead
	for key, value := range event.Fields {
		size += fieldOverhead + len(key) + len(value)
	}
	return size
}
