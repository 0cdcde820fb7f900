package holder

import "sync"

// A Latest holds the latest of a series of values, of which there is none at first. The
// zero Latest is ready for use. It is safe for concurrent use.
type Latest[T any] struct {
	mu    sync.Mutex
	value Optional[T]
}

// Set replaces the value.
func (l *Latest[T]) Set(value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = Known(value)
}

// Get returns the latest value; ok is false if there was none yet.
func (l *Latest[T]) Get() (value T, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value.Get()
}
