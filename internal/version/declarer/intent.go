package declarer

import (
	"fmt"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/decoder"
)

// A Kind says when the work of an intent runs, and until when.
type Kind string

// Kinds of intents.
const (
	// KindRunNow is urgent work that starts within seconds.
	KindRunNow Kind = "runNow"
	// KindRunBy is background work that has to finish by a deadline.
	KindRunBy Kind = "runBy"
	// KindKeepRunning is a monitor that runs until it is cancelled.
	KindKeepRunning Kind = "keepRunning"
)

// An Intent is an operator's request to run a number of identical tasks. It is
// immutable once parsed.
type Intent struct {
	// Name is unique among all intents.
	Name string `yaml:"name" validate:"required,hostname_rfc1123,max=63"`
	// Team is the name of a declared team.
	Team string `yaml:"team" validate:"required"`
	// Class is the name of a declared class.
	Class string `yaml:"class" validate:"required"`
	// Kind says when the work runs.
	Kind Kind `yaml:"kind" validate:"required,oneof=runNow runBy keepRunning"`
	// Count is the number of tasks.
	Count int `yaml:"count" default:"1" validate:"min=1,max=20000"`
	// Resources are what each task needs.
	Resources Resources `yaml:"resources"`
	// Deadline is the time by which all tasks should have finished.
	Deadline time.Time `yaml:"deadline"`
	// Within is the time from planning to the deadline; it can't be combined with
	// Deadline.
	Within time.Duration `yaml:"within" validate:"min=0,max=8760h"`
	// ExpectedRun is the expected run time of one task without interference.
	ExpectedRun time.Duration `yaml:"expectedRun" validate:"min=0,max=8760h"`
	// DataCentres are the data centres in which the tasks may run; none means all.
	DataCentres []string `yaml:"dataCentres" validate:"unique,dive,hostname_rfc1123"`
}

// ParseIntent decodes an intent document and checks it without the declarations. The
// name is that of the file, for error messages. Every error is a *errs.DocumentError.
func ParseIntent(name string, document []byte) (*Intent, error) {
	intent := &Intent{}
	if err := decoder.Decode(name, document, intent, checkIntent); err != nil {
		return nil, err
	}
	return intent, nil
}

// DeadlineAt returns the deadline of an intent that is planned now, or the zero
// time if it has none.
func (i *Intent) DeadlineAt(now time.Time) time.Time {
	if i.Within > 0 {
		return now.Add(i.Within)
	}
	return i.Deadline
}

// checkIntent reports missing resources, and a deadline or expected run time that is
// missing or that the kind of the intent doesn't allow.
func checkIntent(i *Intent, report decoder.Report) {
	if i.Resources.Cores == 0 {
		report("resources.cores", "a task needs a share of a processor", "more than 0")
	}
	if i.Resources.MemoryGB == 0 {
		report("resources.memoryGB", "a task needs memory", "more than 0")
	}
	if i.Within > 0 && !i.Deadline.IsZero() {
		report("within", "is given together with deadline", "one of deadline and within")
	}
	hasDeadline := i.Within > 0 || !i.Deadline.IsZero()
	switch i.Kind {
	case KindRunBy:
		if !hasDeadline {
			report("deadline", "kind runBy needs a deadline", "deadline: 2026-12-04T20:00:00-05:00, or within: 6h")
		}
	case KindKeepRunning:
		if hasDeadline {
			report("kind", "kind keepRunning has no deadline", "leave deadline and within out")
		}
		if i.ExpectedRun > 0 {
			report("expectedRun", "kind keepRunning has no expected run time", "leave expectedRun out")
		}
	}
	if i.Kind != KindKeepRunning && i.ExpectedRun == 0 {
		report("expectedRun", "is missing", "a duration such as 20m")
	}
}

// CheckIntent parses an intent document and compares it with the declarations.
// Undeclared teams, classes and data centres are faults of the document. Every
// error is a *errs.DocumentError.
func (d *Declarations) CheckIntent(name string, document []byte) (intent *Intent, err error) {
	intent = &Intent{}
	err = decoder.Decode(name, document, intent, checkIntent, d.checkReferences)
	if err != nil {
		return nil, err
	}
	return intent, nil
}

// checkReferences reports teams, classes and data centres that an intent names but
// that are not declared.
func (d *Declarations) checkReferences(i *Intent, report decoder.Report) {
	if _, ok := d.Team(i.Team); !ok && i.Team != "" {
		report("team", fmt.Sprintf("%q is not a declared team", i.Team), joinOr(namesOf(d.Teams, func(t Team) string { return t.Name }), "declare one under teams"))
	}
	if _, ok := d.Class(i.Class); !ok && i.Class != "" {
		report("class", fmt.Sprintf("%q is not a declared class", i.Class), joinOr(namesOf(d.Classes, func(c Class) string { return c.Name }), "declare one under classes"))
	}
	for n, dc := range i.DataCentres {
		if d.RegionOf(dc) == "" {
			report(fmt.Sprintf("dataCentres[%d]", n), fmt.Sprintf("%q is not a declared data centre", dc), strings.Join(d.DataCentreNames(), ", "))
		}
	}
}

// DataCentreNames returns the names of all declared data centres.
func (d *Declarations) DataCentreNames() []string {
	var names []string
	for _, region := range d.Regions {
		for _, dc := range region.DataCentres {
			names = append(names, dc.Name)
		}
	}
	return names
}

func namesOf[T any](list []T, name func(T) string) []string {
	names := make([]string, 0, len(list))
	for _, entry := range list {
		names = append(names, name(entry))
	}
	return names
}

// joinOr returns the names separated by commas, or the advice if there are no names.
func joinOr(names []string, advice string) string {
	if len(names) == 0 {
		return advice
	}
	return strings.Join(names, ", ")
}
