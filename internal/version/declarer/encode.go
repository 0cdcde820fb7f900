package declarer

import (
	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Encode returns declarations as a YAML document that Parse reads back.
func Encode(d *Declarations) (document []byte, err error) {
	document, err = yaml.Marshal(d)
	return document, eris.Wrap(err, "encode declarations")
}
