package answerer

import (
	"errors"
	"strconv"
	"time"
)

// MaxDeadline is the longest deadline that a caller may set, from now.
const MaxDeadline = 10 * time.Minute

// ErrInvalidDeadline reports a deadline that is not a whole number of milliseconds from 1
// to MaxDeadline.
var ErrInvalidDeadline = errors.New("deadline must be a whole number of milliseconds from 1 to 600000")

// FormatRemaining formats the time that remains until a deadline, in milliseconds.
// The result is at least 1, because the receiver refuses smaller values.
func FormatRemaining(deadline, now time.Time) string {
	return strconv.FormatInt(max(1, deadline.Sub(now).Milliseconds()), 10)
}

// ParseRemaining parses the value of HeaderDeadline.
func ParseRemaining(value string) (remaining time.Duration, err error) {
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis < 1 || millis > MaxDeadline.Milliseconds() {
		return 0, ErrInvalidDeadline
	}
	return time.Duration(millis) * time.Millisecond, nil
}
