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

// A Record is the owner record of a partition as stored. It is immutable.
type Record struct {
	// Owner is the owning daemon's name; empty after the owner has given up the
	// partition.
	Owner string `json:"owner,omitempty"`
	// Address is the owner's peer address.
	Address string `json:"address,omitempty"`
	// Incarnation is the store revision of the owner's member record.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Token is unique to the owning process.
	Token string `json:"token,omitempty"`
	// Attempt is unique to the write. It shows whether the write took effect if
	// the store's answer was lost.
	Attempt string `json:"attempt"`
	// Epoch is the owner's epoch; zero stands for the store revision of this record.
	Epoch Epoch `json:"epoch,omitempty"`
	// Clean reports that the former owner had stopped acting before it gave up
	// the partition.
	Clean bool `json:"clean,omitempty"`
	// Revision is the store revision of the record.
	Revision storer.Revision `json:"-"`
}

// WithRevision returns a copy with the given store revision, which also becomes
// the epoch if that is zero.
func (r Record) WithRevision(revision storer.Revision) Record {
	r.Revision = revision
	if r.Epoch == 0 {
		r.Epoch = Epoch(revision)
	}
	return r
}

// Key returns the store key of a partition's owner record.
func Key(p Partition) string { return Prefix + string(p) }

// ParseRecord decodes a stored owner record and the partition that it is about.
func ParseRecord(entry storer.Entry) (p Partition, r Record, err error) {
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return "", Record{}, eris.Wrapf(err, "decoding the owner record %s", entry.Key)
	}
	return Partition(strings.TrimPrefix(entry.Key, Prefix)), r.WithRevision(entry.Revision), nil
}
