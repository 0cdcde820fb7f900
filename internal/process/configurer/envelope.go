// Package configurer keeps the newest version of the operators' declarations in
// force, changes the declarations, and decides whether new tasks may start in a
// data centre.
package configurer

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
)

// Key is the store's key of the declarations.
const Key = watcher.Root + "declarations"

// documentName is the name of the document in parse errors.
const documentName = "declarations"

// An envelope is the stored record of the declarations.
type envelope struct {
	Document string `json:"document"`
	// Attempt is unique to the change. It lets the writer recognise the change
	// in the store if the response to the write was lost.
	Attempt string `json:"attempt"`
	// FormerAttempt and FormerVersion identify the version that this one
	// replaced, so that the writer of the replaced version can still determine
	// that its write was applied.
	FormerAttempt string `json:"formerAttempt,omitempty"`
	FormerVersion int64  `json:"formerVersion,omitempty"`
}

// parseEnvelope decodes the record of a store entry.
func parseEnvelope(entry storer.Entry) (e envelope, err error) {
	if err := json.Unmarshal(entry.Value, &e); err != nil {
		return envelope{}, eris.Wrapf(err, "parsing the declarations record at revision %d", entry.Revision)
	}
	return e, nil
}

func (e envelope) encode() ([]byte, error) { return json.Marshal(e) }
