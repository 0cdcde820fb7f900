package recorder

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// A Filter selects the events that match all its terms. It is immutable.
type Filter struct {
	terms []term
}

type term struct{ field, value string }

// ParseFilter parses terms of the form field=value, separated by spaces. A field is one of the
// events' own fields, or "daemon", "number" or "event", which stands for the event's name.
func ParseFilter(text string) (Filter, error) {
	var filter Filter
	for _, word := range strings.Fields(text) {
		field, value, ok := strings.Cut(word, "=")
		if !ok || field == "" {
			return Filter{}, &errs.RefusedError{
				What:   fmt.Sprintf("filter %q", text),
				Why:    fmt.Sprintf("%q is not a term", word),
				Remedy: "write terms like task=night-casting/3 dataCentre=atl-a",
			}
		}
		filter.terms = append(filter.terms, term{field: field, value: value})
	}
	return filter, nil
}

// Matches reports whether an event satisfies all terms.
func (f Filter) Matches(event *kumquatv1.Event) bool {
	for _, t := range f.terms {
		if !t.matches(event) {
			return false
		}
	}
	return true
}

func (t term) matches(event *kumquatv1.Event) bool {
	switch t.field {
	case "daemon":
		// A daemon's own events match, and so do other daemons' events about it.
		return event.Daemon == t.value || event.Fields["daemon"] == t.value
	case "number":
		return strconv.Itoa(int(event.Number)) == t.value
	case "event":
		return event.Name == t.value
	default:
		value, ok := event.Fields[t.field]
		return ok && value == t.value
	}
}
