package declarer

import (
	"fmt"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// EditDataCentre returns a document in which a data centre is out or in
// service; comments and layout stay. It refuses undeclared data centres with
// a *errs.RefusedError.
func EditDataCentre(document []byte, name string, out bool) (edited []byte, err error) {
	defer func() { err = eris.Wrap(err, "edit the declarations") }()
	declared, err := Parse("declarations", document)
	if err != nil {
		return nil, err
	}
	region, index, ok := declared.locate(name)
	if !ok {
		return nil, &errs.RefusedError{
			What:   fmt.Sprintf("data centre %q", name),
			Why:    "it is not declared",
			Remedy: "use one of " + listOr(declared.DataCentreNames(), "those declared"),
		}
	}
	if declared.IsOut(name) == out {
		return document, nil
	}
	edited, err = editOut(document, fmt.Sprintf("$.regions[%d].dataCentres[%d]", region, index), out)
	if err != nil {
		return nil, err
	}
	return edited, verifyEdit(declared, edited, name, out)
}

// verifyEdit parses the edited document and compares it with what was meant.
func verifyEdit(before *Declarations, edited []byte, name string, out bool) error {
	after, err := Parse("declarations", edited)
	if err != nil {
		return err
	}
	if changes := Diff(before.WithDataCentre(name, out), after); len(changes) > 0 {
		return eris.Errorf("the edit would also change %s", changes[0].Key)
	}
	return nil
}

func (d *Declarations) locate(name string) (region, index int, ok bool) {
	for i := range d.Regions {
		for j := range d.Regions[i].DataCentres {
			if d.Regions[i].DataCentres[j].Name == name {
				return i, j, true
			}
		}
	}
	return 0, 0, false
}

// editOut sets the key "out" of the mapping at a path.
func editOut(document []byte, path string, out bool) ([]byte, error) {
	file, err := parser.ParseBytes(document, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	present, err := yaml.PathString(path + ".out")
	if err != nil {
		return nil, err
	}
	value, err := yaml.ValueToNode(out)
	if err != nil {
		return nil, err
	}
	if node, findErr := present.FilterFile(file); findErr == nil && node != nil {
		err = present.ReplaceWithNode(file, value)
		return []byte(file.String()), err
	}
	parent, err := yaml.PathString(path)
	if err != nil {
		return nil, err
	}
	addition, err := parser.ParseBytes([]byte("out: "+strconv.FormatBool(out)+"\n"), 0)
	if err != nil {
		return nil, err
	}
	err = parent.MergeFromNode(file, addition.Docs[0].Body)
	return []byte(file.String()), err
}
