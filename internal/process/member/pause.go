package member

import "time"

// Bounds of the back-off between two attempts to register.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)
