package cli

import (
	"context"
	"io"
	"strings"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// releaseCmd lets other daemons take over the partitions of dead ones.
type releaseCmd struct {
	base
	Confirm string `long:"confirm" value-name:"ID" description:"Release the partitions that the command showed with this id"`
	Args    struct {
		Daemons []string `positional-arg-name:"DAEMON" required:"1" description:"Daemon whose process has certainly ended"`
	} `positional-args:"yes" required:"yes"`
}

func (*releaseCmd) describe() string {
	return "Let other daemons take over the partitions of daemons whose processes have certainly ended, when too few daemons of their region are left to prove it. " +
		"Without --confirm it only shows what would be released. " +
		"DANGER: if the process of a named daemon still runs, for example behind a network partition, two daemons act for the same partitions: " +
		"requests and tasks may run twice. It is refused while any daemon still hears from a named one."
}

func (c *releaseCmd) run(ctx context.Context, a *app) error {
	client, err := a.newClient()
	if err != nil {
		return err
	}
	request := &kumquatv1.ReleaseRequest{Daemons: c.Args.Daemons, Plan: c.Confirm}
	kind := mutating
	if c.Confirm == "" || a.globals.DryRun {
		request.Plan = ""
		kind = readOnly
	}
	answer, err := call(ctx, client, kind, "release", kumquatv1.Operator.Release, request)
	if err != nil {
		return err
	}
	return a.print(answer, func(w io.Writer) { writeRelease(w, c.Args.Daemons, answer) })
}

func writeRelease(w io.Writer, daemons []string, answer *kumquatv1.ReleaseResponse) {
	verb := "would release"
	if answer.GetReleased() {
		verb = "released"
	}
	for _, dead := range answer.GetIncarnations() {
		printf(w, "%s %d partitions of %s (incarnation %d): %s\n", verb, len(dead.GetPartitions()),
			dead.GetIncarnation().GetDaemon(), dead.GetIncarnation().GetNumber(), strings.Join(dead.GetPartitions(), " "))
	}
	if answer.GetReleased() {
		printf(w, "other daemons take them over within seconds; kumquat status shows it\n")
		return
	}
	printf(w, "DANGER: if one of these processes still runs, requests and tasks may run twice. Make sure that the hosts are off. Then:\n")
	printf(w, "kumquat release --confirm %s %s\n", answer.GetPlan(), strings.Join(daemons, " "))
}
