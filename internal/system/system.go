// Package system provides the operators' tool with access to files and streams
// through an interface, so that accesses can be logged and writes prevented.
package system

import (
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// Stream is the file name that stands for the standard input or output.
const Stream = "-"

// filePermissions are the permissions of written files.
const filePermissions = 0o644

// A System reads and writes files and streams.
type System interface {
	// ReadFile reads a file, or the standard input.
	ReadFile(name string) ([]byte, error)
	// WriteFile replaces a file as a whole, or writes to the standard output.
	WriteFile(name string, data []byte) error
	// Stdout returns the standard output.
	Stdout() io.Writer
	// Stderr returns the standard error output.
	Stderr() io.Writer
}

// A RealSystem is a System that accesses the file system.
type RealSystem struct {
	in       io.Reader
	out, err io.Writer
}

var _ System = (*RealSystem)(nil)

// NewRealSystem returns a system that uses the given streams as standard streams.
func NewRealSystem(in io.Reader, out, err io.Writer) *RealSystem {
	return &RealSystem{in: in, out: out, err: err}
}

// ReadFile implements System.
func (s *RealSystem) ReadFile(name string) (data []byte, err error) {
	if name == Stream {
		return io.ReadAll(s.in)
	}
	return os.ReadFile(name)
}

// WriteFile implements System. It replaces the file atomically, so that a reader
// sees either the old or the new content.
func (s *RealSystem) WriteFile(name string, data []byte) (err error) {
	defer func() { err = eris.Wrapf(err, "write %s", name) }()
	if name == Stream {
		_, err = s.out.Write(data)
		return err
	}
	temporary, err := os.CreateTemp(filepath.Dir(name), ".kumquat-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(temporary.Name())
		}
	}()
	if _, err = temporary.Write(data); err != nil {
		_ = temporary.Close()
		return err
	}
	if err = temporary.Close(); err != nil {
		return err
	}
	if err = os.Chmod(temporary.Name(), filePermissions); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), name)
}

// Stdout implements System.
func (s *RealSystem) Stdout() io.Writer { return s.out }

// Stderr implements System.
func (s *RealSystem) Stderr() io.Writer { return s.err }
