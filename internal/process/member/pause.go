package member

import "time"

// Pauses between two attempts to register or to renew.
const (
	firstPause = 100 * time.Millisecond
	longPause  = 2 * time.Second
)
