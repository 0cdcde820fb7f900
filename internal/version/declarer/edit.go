package declarer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// EditDataCentre returns the document with a data centre set out of service or in
// service. Comments and layout are kept. For an undeclared data centre it returns
// a *errs.RefusedError.
func EditDataCentre(document []byte, name string, out bool) (edited []byte, err error) {
	defer func() { err = eris.Wrap(err, "edit the declarations") }()
	declared, err := Parse("declarations", document)
	if err != nil {
		return nil, err
	}
	region, index, ok := declared.findDataCentre(name)
	if !ok {
		return nil, &errs.RefusedError{
			What:   fmt.Sprintf("data centre %q", name),
			Why:    "it is not declared",
			Remedy: "use one of " + joinOr(declared.DataCentreNames(), "those declared"),
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

// verifyEdit returns an error if the edited document can't be parsed, or if its
// content is not that of the original with the intended change.
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

// findDataCentre returns the indices of a data centre's region and of the data centre
// in the region.
func (d *Declarations) findDataCentre(name string) (region, index int, ok bool) {
	for i := range d.Regions {
		for j := range d.Regions[i].DataCentres {
			if d.Regions[i].DataCentres[j].Name == name {
				return i, j, true
			}
		}
	}
	return 0, 0, false
}

// editOut sets the key "out" of the mapping at a path. It edits the text instead
// of the parsed nodes, because the YAML library drops comments when it replaces a
// node.
func editOut(document []byte, path string, out bool) ([]byte, error) {
	file, err := parser.ParseBytes(document, 0)
	if err != nil {
		return nil, err
	}
	at, err := yaml.PathString(path)
	if err != nil {
		return nil, err
	}
	node, err := at.FilterFile(file)
	if err != nil {
		return nil, err
	}
	mapping, ok := node.(*ast.MappingNode)
	if !ok || len(mapping.Values) == 0 {
		return nil, eris.Errorf("%s is not a mapping", path)
	}
	for _, pair := range mapping.Values {
		if pair.Key.GetToken().Value == "out" {
			value := pair.Value.GetToken()
			return splice(document, value.Position, len([]rune(value.Value)), strconv.FormatBool(out))
		}
	}
	first := mapping.Values[0].Key.GetToken().Position
	key := "out: " + strconv.FormatBool(out)
	if mapping.IsFlowStyle {
		return splice(document, first, 0, key+", ")
	}
	return splice(document, first, 0, key+"\n"+strings.Repeat(" ", first.Column-1))
}

// splice returns the document with a number of characters at a position replaced by a
// text. The characters have to be in one line.
func splice(document []byte, at *token.Position, count int, text string) ([]byte, error) {
	lines := strings.SplitAfter(string(document), "\n")
	if at.Line > len(lines) {
		return nil, eris.Errorf("there is no line %d", at.Line)
	}
	line := []rune(lines[at.Line-1])
	begin := at.Column - 1
	if begin+count > len(line) {
		return nil, eris.Errorf("line %d has no column %d", at.Line, begin+count)
	}
	lines[at.Line-1] = string(line[:begin]) + text + string(line[begin+count:])
	return []byte(strings.Join(lines, "")), nil
}
