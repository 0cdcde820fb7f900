// Package holder holds values that are not known from the start, so that nothing can
// take the zero value of a type for a value that has been read.
package holder

// An Optional is a value that may not be known. The zero Optional holds none. It is
// immutable.
type Optional[T any] struct {
	value   T
	isKnown bool
}

// Known returns an Optional that holds a value.
func Known[T any](value T) Optional[T] { return Optional[T]{value: value, isKnown: true} }

// Get returns the value; ok is false if it is not known, and value is then of no use.
func (o Optional[T]) Get() (value T, ok bool) { return o.value, o.isKnown }
