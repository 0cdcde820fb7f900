package system

import "github.com/apex/log"

// A LoggingSystem is a System that logs every access to a file or stream by name
// at level debug.
type LoggingSystem struct {
	System
	logger log.Interface
}

var _ System = (*LoggingSystem)(nil)

// NewLoggingSystem returns a system that logs the accesses to another one.
func NewLoggingSystem(inner System, logger log.Interface) *LoggingSystem {
	return &LoggingSystem{System: inner, logger: logger}
}

// ReadFile implements System.
func (s *LoggingSystem) ReadFile(name string) (data []byte, err error) {
	defer s.log("read file", name, &data, &err)
	return s.System.ReadFile(name)
}

// WriteFile implements System.
func (s *LoggingSystem) WriteFile(name string, data []byte) (err error) {
	defer s.log("write file", name, &data, &err)
	return s.System.WriteFile(name, data)
}

func (s *LoggingSystem) log(op, name string, data *[]byte, err *error) {
	entry := s.logger.WithField("name", name).WithField("bytes", len(*data))
	if *err != nil {
		entry = entry.WithError(*err)
	}
	entry.Debug(op)
}
