package cli

import (
	"context"
	"io"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// dataCentreCmd groups the commands about data centres.
type dataCentreCmd struct {
	Out dataCentreOutCmd `command:"out" description:"Take a data centre out of service" long-description:"Take a data centre out of service. Within seconds no task starts there; its batch tasks move to other data centres."`
	In  dataCentreInCmd  `command:"in" description:"Bring a data centre back in service" long-description:"Bring a data centre back in service."`
}

// dataCentreArgs are the arguments of the commands about one data centre.
type dataCentreArgs struct {
	Args struct {
		DataCentre string `positional-arg-name:"NAME" description:"Name of the data centre"`
	} `positional-args:"yes" required:"yes"`
}

// dataCentreOutCmd takes a data centre out of service.
type dataCentreOutCmd struct {
	base
	dataCentreArgs
}

func (c *dataCentreOutCmd) run(ctx context.Context, a *app) error {
	return setDataCentre(ctx, a, c.Args.DataCentre, true)
}

// dataCentreInCmd brings a data centre back in service.
type dataCentreInCmd struct {
	base
	dataCentreArgs
}

func (c *dataCentreInCmd) run(ctx context.Context, a *app) error {
	return setDataCentre(ctx, a, c.Args.DataCentre, false)
}

func setDataCentre(ctx context.Context, a *app, name string, out bool) error {
	client, err := a.newClient()
	if err != nil {
		return err
	}
	if a.globals.DryRun {
		return a.printDryRun("set data centre %s: out %t", name, out)
	}
	answer, err := call(ctx, client, mutating, "data centre change", kumquatv1.Operator.SetDataCentre,
		&kumquatv1.SetDataCentreRequest{DataCentre: name, Out: out})
	if err != nil {
		return err
	}
	return a.print(answer, func(w io.Writer) {
		state := "in service"
		if out {
			state = "out of service"
		}
		printf(w, "data centre %s is %s: ", name, state)
		writeApplied(w, answer.GetVersion(), answer.GetUnchanged(), answer.GetUnconfirmed())
	})
}
