// Package configurer keeps the newest declarations in force, changes them and
// answers whether new tasks may start in a data centre.
package configurer

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
)

// Key is the key of the declarations.
const Key = watcher.Root + "declarations"

// documentName stands in the errors of documents.
const documentName = "declarations"

// An envelope is the stored value of the declarations.
type envelope struct {
	Document string `json:"document"`
	// Attempt is unique to the change, to recognise it after a lost answer.
	Attempt string `json:"attempt"`
	// FormerAttempt and FormerVersion are those of the version that this one
	// replaced, so that its author can find out that it was applied.
	FormerAttempt string `json:"formerAttempt,omitempty"`
	FormerVersion int64  `json:"formerVersion,omitempty"`
}

func parseEnvelope(entry storer.Entry) (e envelope, err error) {
	if err := json.Unmarshal(entry.Value, &e); err != nil {
		return envelope{}, eris.Wrapf(err, "declarations record at revision %d", entry.Revision)
	}
	return e, nil
}

func (e envelope) encode() ([]byte, error) { return json.Marshal(e) }
