package system

import "fmt"

// A DryRunSystem is a System that reports writes to files instead of making them.
type DryRunSystem struct {
	System
}

var _ System = (*DryRunSystem)(nil)

// NewDryRunSystem returns a system that uses another one for everything but
// writing files.
func NewDryRunSystem(inner System) *DryRunSystem { return &DryRunSystem{System: inner} }

// WriteFile implements System.
func (s *DryRunSystem) WriteFile(name string, data []byte) error {
	if name == Stream {
		return s.System.WriteFile(name, data)
	}
	_, err := fmt.Fprintf(s.Stderr(), "would write %d bytes to %s\n", len(data), name)
	return err
}
