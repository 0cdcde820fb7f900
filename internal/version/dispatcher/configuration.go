package dispatcher

import (
	"maps"

	"github.com/kumquatstack/kumquatstack/internal/holder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A Configuration holds the operator's declarations that decisions depend on. It is
// immutable.
type Configuration struct {
	queues    map[string]submitter.Queue // by name
	evacuated map[string]bool
}

// NewConfiguration returns a configuration of queues, and of data centres that get no
// new work because they are evacuated.
func NewConfiguration(queues []submitter.Queue, evacuated map[string]bool) Configuration {
	c := Configuration{queues: make(map[string]submitter.Queue, len(queues)), evacuated: maps.Clone(evacuated)}
	for _, q := range queues {
		c.queues[q.Name] = q
	}
	return c
}

// queueOf returns the queue of a submission: as it is configured now, or, if the
// configuration no longer has it, as it was when the submission was accepted. It is not
// known before the configuration is, or if the submission was stored without it.
func (t *Table) queueOf(sub *submitter.Submission) holder.Optional[submitter.Queue] {
	config, ok := t.config.Get()
	if !ok {
		return holder.Optional[submitter.Queue]{}
	}
	if q, ok := config.queues[sub.Queue]; ok {
		return holder.Known(q)
	}
	if sub.Terms != nil {
		return holder.Known(*sub.Terms)
	}
	return holder.Optional[submitter.Queue]{}
}

// isEvacuated reports whether a data centre gets no new work. That goes for all data
// centres while it is not known.
func (t *Table) isEvacuated(dataCentre string) bool {
	config, ok := t.config.Get()
	return !ok || config.evacuated[dataCentre]
}
