package cli

import (
	"context"
	"io"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// diffCmd shows what apply would change.
type diffCmd struct {
	base
	File     string `short:"f" long:"file" required:"true" value-name:"FILE" description:"YAML file of the declarations; - is the standard input"`
	ExitCode bool   `long:"exit-code" description:"Exit with code 6 if there are differences"`
}

// A difference holds the changes from the declarations in force to a document.
type difference struct {
	// BaseVersion is the version in force, or 0 if there is none.
	BaseVersion int64             `json:"baseVersion"`
	Changes     []declarer.Change `json:"changes"`
	inForce     *declarer.Declarations
	proposed    *declarer.Declarations
	document    string
}

func (c *diffCmd) run(ctx context.Context, a *app) error {
	client, err := a.newClient()
	if err != nil {
		return err
	}
	diff, err := compareFile(ctx, a, client, c.File)
	if err != nil {
		return err
	}
	if err := a.printValue(diff, diff.write); err != nil {
		return err
	}
	if c.ExitCode && len(diff.Changes) > 0 {
		return &differenceError{}
	}
	return nil
}

// compareFile compares a file with the declarations in force.
func compareFile(ctx context.Context, a *app, c *client, name string) (*difference, error) {
	document, err := a.system.ReadFile(name)
	if err != nil {
		return nil, err
	}
	proposed, err := declarer.Parse(name, document)
	if err != nil {
		return nil, err
	}
	answer, err := call(ctx, c, readOnly, "read declarations", kumquatv1.Operator.GetDeclarations, &kumquatv1.GetDeclarationsRequest{})
	if err != nil {
		return nil, err
	}
	diff := &difference{BaseVersion: answer.GetVersion(), proposed: proposed, document: string(document)}
	if answer.GetDocument() != "" {
		if diff.inForce, err = declarer.Parse("declarations in force", []byte(answer.GetDocument())); err != nil {
			return nil, err
		}
	}
	diff.Changes = append([]declarer.Change{}, declarer.Diff(diff.inForce, proposed)...)
	return diff, nil
}

func (d *difference) write(w io.Writer) {
	if d.inForce == nil {
		printf(w, "no declarations are in force yet; all of the file is new\n")
		return
	}
	switch len(d.Changes) {
	case 0:
		printf(w, "no differences to version %d\n", d.BaseVersion)
		return
	case 1:
		printf(w, "1 difference to version %d:\n", d.BaseVersion)
	default:
		printf(w, "%d differences to version %d:\n", len(d.Changes), d.BaseVersion)
	}
	for _, change := range d.Changes {
		printf(w, "  %s\n", change)
	}
}

// broughtBack returns the names of the data centres that are out of service and that the
// document would bring back in service.
func (d *difference) broughtBack() []string {
	if d.inForce == nil {
		return nil
	}
	var names []string
	for _, name := range d.proposed.DataCentreNames() {
		if d.inForce.RegionOf(name) != "" && d.inForce.IsOut(name) && !d.proposed.IsOut(name) {
			names = append(names, name)
		}
	}
	return names
}
