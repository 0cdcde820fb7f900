package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/system"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// shownPlacements limits the placements that are shown without --all.
const shownPlacements = 10

// planCmd shows what an intent would do.
type planCmd struct {
	base
	File string `short:"f" long:"file" required:"true" value-name:"FILE" description:"YAML file of the intent; - is the standard input"`
	Out  string `long:"out" value-name:"FILE" description:"Write the plan to a file for kumquat confirm"`
	All  bool   `long:"all" description:"Show every placement"`
}

func (*planCmd) describe() string {
	return "Show where the tasks of an intent would run and why, which tasks would be throttled or evicted for them, and what the team's quota allows. " +
		"Nothing is changed: kumquat confirm starts the work of a plan that was written with --out."
}

func (c *planCmd) run(ctx context.Context, a *app) error {
	document, err := a.system.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := declarer.ParseIntent(c.File, document); err != nil {
		return err
	}
	client, err := a.newClient()
	if err != nil {
		return err
	}
	answer, err := call(ctx, client, readOnly, "plan", kumquatv1.Operator.Plan, &kumquatv1.PlanRequest{Document: string(document)})
	if err != nil {
		return withFile(err, c.File)
	}
	plan := answer.GetPlan()
	if c.Out != system.Stream {
		if err := a.print(plan, func(w io.Writer) { writePlan(w, plan, c.All) }); err != nil {
			return err
		}
	}
	if len(plan.GetRejections()) > 0 {
		return refusalOf(plan)
	}
	return c.write(a, plan)
}

// withFile puts the file's name into a daemon's error about the document.
func withFile(err error, name string) error {
	var faulty *errs.DocumentError
	if errors.As(err, &faulty) {
		return &errs.DocumentError{Name: name, Problems: faulty.Problems}
	}
	return err
}

// write writes the plan to the file of --out for kumquat confirm. Without --out it
// tells the operator how to get one.
func (c *planCmd) write(a *app, plan *kumquatv1.Plan) error {
	if c.Out == "" {
		a.notice("nothing has changed; add --out FILE and run kumquat confirm FILE to start this")
		return nil
	}
	data, err := marshalMessage(plan)
	if err != nil {
		return err
	}
	if err := a.system.WriteFile(c.Out, data); err != nil {
		return err
	}
	if c.Out != system.Stream {
		a.notice("start this with: kumquat confirm %s", c.Out)
	}
	return nil
}

// refusalOf returns the error for a plan with tasks that can't run.
func refusalOf(plan *kumquatv1.Plan) error {
	first := plan.GetRejections()[0]
	return &errs.RefusedError{
		What:   fmt.Sprintf("%d of the tasks of intent %s", len(plan.GetRejections()), plan.GetIntent()),
		Why:    first.GetReason(),
		Remedy: "change the intent's count, resources or dataCentres, or the team's quota",
	}
}

func writePlan(w io.Writer, plan *kumquatv1.Plan, all bool) {
	printf(w, "Plan for intent %s, on configuration version %d\n", plan.GetIntent(), plan.GetConfigurationVersion())
	if missing := plan.GetMissingShards(); len(missing) > 0 {
		printf(w, "INCOMPLETE: made without the workers of %s, whose owner did not answer\n", strings.Join(missing, ", "))
	}
	writeCounts(w, plan)
	writePlacements(w, plan, all)
	if len(plan.GetDisplacements()) > 0 {
		printf(w, "\nMakes room:\n")
		t := newTable(w, "ACTION", "TASK", "WORKER")
		for _, displaced := range plan.GetDisplacements() {
			t.row(displaced.GetAction(), displaced.GetTask(), displaced.GetWorker())
		}
		flush(t)
	}
	if len(plan.GetRejections()) > 0 {
		printf(w, "\nCan't run:\n")
		t := newTable(w, "TASK", "REASON")
		for _, rejected := range plan.GetRejections() {
			t.row(rejected.GetTask(), rejected.GetReason())
		}
		flush(t)
	}
	writeQuota(w, plan)
	if millis := plan.GetExpectedStartUnixMillis(); millis > 0 {
		printf(w, "Expected start:  %s\n", formatMillis(millis))
	}
	if millis := plan.GetExpectedFinishUnixMillis(); millis > 0 {
		printf(w, "Expected finish: %s\n", formatMillis(millis))
	}
	writeDeadline(w, plan)
}

// writeDeadline writes the deadline and whether it is expected to be missed.
func writeDeadline(w io.Writer, plan *kumquatv1.Plan) {
	deadline := plan.GetDeadlineUnixMillis()
	switch {
	case deadline <= 0:
	case plan.GetExpectedFinishUnixMillis() > deadline:
		printf(w, "Deadline:        %s, which the expected finish MISSES\n", formatMillis(deadline))
	default:
		printf(w, "Deadline:        %s\n", formatMillis(deadline))
	}
}

// writeCounts writes how many tasks start now, in which data centres, and how many
// wait.
func writeCounts(w io.Writer, plan *kumquatv1.Plan) {
	counts := map[string]int{}
	for _, placement := range plan.GetPlacements() {
		counts[placement.GetDataCentre()]++
	}
	var parts []string
	for dc, count := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", dc, count))
	}
	slices.Sort(parts)
	if len(parts) > 0 {
		printf(w, "Starts now: %d (%s)\n", len(plan.GetPlacements()), strings.Join(parts, ", "))
	} else {
		printf(w, "Starts now: 0, as no worker has room\n")
	}
	if waiting := len(plan.GetWaiting()); waiting > 0 {
		printf(w, "Waits for capacity: %d\n", waiting)
	}
}

func writePlacements(w io.Writer, plan *kumquatv1.Plan, all bool) {
	placements := plan.GetPlacements()
	if len(placements) == 0 {
		return
	}
	hidden := 0
	if !all && len(placements) > shownPlacements {
		hidden = len(placements) - shownPlacements
		placements = placements[:shownPlacements]
	}
	printf(w, "\n")
	t := newTable(w, "TASK", "WORKER", "DATA CENTRE", "WHY")
	for _, placement := range placements {
		t.row(placement.GetTask(), placement.GetWorker(), placement.GetDataCentre(), placement.GetWhy())
	}
	flush(t)
	if hidden > 0 {
		printf(w, "… and %d more; --all shows them\n", hidden)
	}
}

func writeQuota(w io.Writer, plan *kumquatv1.Plan) {
	if plan.GetQuotaLimit() == nil {
		return
	}
	printf(w, "\nQuota of the team:\n")
	t := newTable(w, "", "CORES", "MEMORY GB", "ACCELERATORS")
	for _, line := range []struct {
		name   string
		amount *kumquatv1.Resources
	}{
		{"before", plan.GetQuotaBefore()},
		{"after", plan.GetQuotaAfter()},
		{"limit", plan.GetQuotaLimit()},
	} {
		t.row(line.name, formatCores(line.amount), formatMemory(line.amount), fmt.Sprint(line.amount.GetAccelerators()))
	}
	flush(t)
}

// flush writes the table to its buffer, which can't fail.
func flush(t table) { _ = t.Flush() }

func formatCores(r *kumquatv1.Resources) string {
	return fmt.Sprintf("%g", float64(r.GetMilliCores())/1000)
}

func formatMemory(r *kumquatv1.Resources) string {
	return fmt.Sprintf("%.4g", float64(r.GetMemoryBytes())/1e9)
}

func formatMillis(millis int64) string {
	return time.UnixMilli(millis).Local().Format(time.RFC3339)
}
