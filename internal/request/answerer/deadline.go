package answerer

import (
	"errors"
	"strconv"
	"time"
)

// MaxDeadline is the longest time that a caller may allow.
const MaxDeadline = 10 * time.Minute

// ErrDeadline reports a deadline that is not a number of milliseconds from 1
// to MaxDeadline.
var ErrDeadline = errors.New("deadline has to be a whole number of milliseconds from 1 to 600000")

// FormatRemaining writes the time that remains until a deadline.
func FormatRemaining(deadline, now time.Time) string {
	return strconv.FormatInt(max(1, deadline.Sub(now).Milliseconds()), 10)
}

// ParseRemaining reads the time that remains.
func ParseRemaining(value string) (remaining time.Duration, err error) {
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis < 1 || millis > MaxDeadline.Milliseconds() {
		return 0, ErrDeadline
	}
	return time.Duration(millis) * time.Millisecond, nil
}
