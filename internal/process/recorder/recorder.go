// Package recorder keeps the numbered events of a daemon in memory, up to a limit, and writes them
// to the log.
package recorder

import "time"

// A Number identifies a kind of event; docs/events.md is the catalogue.
type Number int

// Fields are the details of an event by name.
type Fields map[string]string

// A Recorder records events. Implementations are safe for concurrent use.
type Recorder interface {
	Record(now time.Time, number Number, fields Fields)
}

// Discard is a Recorder that drops everything.
type Discard struct{}

var _ Recorder = Discard{}

// Record implements Recorder.
func (Discard) Record(time.Time, Number, Fields) {}
