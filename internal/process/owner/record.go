package owner

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
)

// Prefix is the prefix of all owner records.
const Prefix = watcher.Root + "owners/"

// A Record is the stored state of a partition. It is immutable.
type Record struct {
	// Owner is the owning daemon's name; empty after a clean handover.
	Owner   string `json:"owner,omitempty"`
	Address string `json:"address,omitempty"`
	// Incarnation is the store revision of the owner's member record.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Token is unique to the owning process.
	Token string `json:"token,omitempty"`
	// Attempt is unique to the write, to recognise it after a lost answer.
	Attempt string `json:"attempt"`
	// Epoch is the owner's epoch; zero stands for the revision of this record.
	Epoch Epoch `json:"epoch,omitempty"`
	// Clean tells that the former owner had stopped when it gave up.
	Clean bool `json:"clean,omitempty"`
	// Revision is the store revision that the record was read at.
	Revision storer.Revision `json:"-"`
}

// WithRevision returns a copy as read at a store revision.
func (r Record) WithRevision(revision storer.Revision) Record {
	r.Revision = revision
	if r.Epoch == 0 {
		r.Epoch = Epoch(revision)
	}
	return r
}

// Key returns the key of a partition's owner record.
func Key(p Partition) string { return Prefix + string(p) }

// ParseRecord reads an owner record.
func ParseRecord(entry storer.Entry) (p Partition, r Record, err error) {
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return "", Record{}, eris.Wrapf(err, "owner record %s", entry.Key)
	}
	return Partition(strings.TrimPrefix(entry.Key, Prefix)), r.WithRevision(entry.Revision), nil
}
