package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// timelineCmd shows the events of all daemons.
type timelineCmd struct {
	base
	Since time.Duration `long:"since" validate:"min=0" value-name:"DURATION" description:"Only events that are at most this old"`
	Limit int32         `long:"limit" default:"200" validate:"min=1" value-name:"N" description:"Maximum number of events"`
	HTML  string        `long:"html" value-name:"FILE" description:"Write the time line to this file as one self-contained page"`
	Args  struct {
		Terms []string `positional-arg-name:"FIELD=VALUE" description:"Only events with this field: task, intent, request, worker, runner, dataCentre, partition, daemon, version, number, event"`
	} `positional-args:"yes"`
}

func (*timelineCmd) describe() string {
	return "Show the newest events of all daemons in the order of their clocks. Daemons that did not answer are named."
}

func (c *timelineCmd) run(ctx context.Context, a *app) error {
	filter := strings.Join(c.Args.Terms, " ")
	if _, err := recorder.ParseFilter(filter); err != nil {
		return &usageError{err.Error()}
	}
	client, err := a.newClient()
	if err != nil {
		return err
	}
	answer, err := call(ctx, client, readOnly, "timeline", kumquatv1.Operator.Timeline,
		&kumquatv1.TimelineRequest{SinceClock: c.sinceClock(time.Now()), Limit: c.Limit, Filter: filter})
	if err != nil {
		return err
	}
	if c.HTML != "" {
		return a.system.WriteFile(c.HTML, timelinePage(answer, filter))
	}
	return a.print(answer, func(w io.Writer) { writeTimeline(w, answer) })
}

// sinceClock returns the clock reading at which the time line begins; zero selects
// the newest events.
func (c *timelineCmd) sinceClock(now time.Time) uint64 {
	if c.Since <= 0 {
		return 0
	}
	return uint64(now.Add(-c.Since).UnixNano())
}

func writeTimeline(w io.Writer, timeline *kumquatv1.TimelineResponse) {
	if len(timeline.GetMissing()) > 0 {
		printf(w, "INCOMPLETE: no answer from %s\n\n", strings.Join(timeline.GetMissing(), ", "))
	}
	t := newTable(w, "TIME", "DAEMON", "NUMBER", "EVENT", "FIELDS")
	for _, event := range timeline.GetEvents() {
		t.row(formatClock(event.GetClock()), event.GetDaemon(), fmt.Sprint(event.GetNumber()), event.GetName(), formatFields(event.GetFields()))
	}
	flush(t)
}

func formatClock(clock uint64) string {
	return time.Unix(0, int64(clock)).UTC().Format("15:04:05.000000")
}

func formatFields(fields map[string]string) string {
	parts := make([]string, 0, len(fields))
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value := fields[name]
		if strings.ContainsAny(value, " \t\n\"") {
			value = fmt.Sprintf("%q", value)
		}
		parts = append(parts, name+"="+value)
	}
	return strings.Join(parts, " ")
}
