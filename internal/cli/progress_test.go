package cli

import (
	"testing"
	"time"
)

func TestShowProgress(t *testing.T) {
	told := make(chan time.Duration)
	stop := showProgress(time.Millisecond, func(waited time.Duration) {
		select {
		case told <- waited:
		default:
		}
	})
	if waited := <-told; waited < time.Millisecond {
		t.Errorf("told %s", waited)
	}
	stop()
	select {
	case waited := <-told:
		t.Errorf("told %s after the stop", waited)
	default:
	}
}
