// Package rig3 holds the stand-ins that the cases in review/11 to review/15 share: runners, clients,
// and the daemons' processes. The platform's store is that of package standin.
package rig3

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A Record is the protocol of one play: what was sent, answered and run. It is safe for
// concurrent use.
type Record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord starts a record in a file, which it replaces.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: file}, nil
}

// Note writes one line with the time since the start of the record.
func (r *Record) Note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that can't be written shows in the missing verdict at its end.
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), line)
}

// Close ends the record.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.file.Close()
}
