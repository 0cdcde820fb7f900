package cli

import (
	"testing"
	"time"
)

func TestShowProgress(t *testing.T) {
	notified := make(chan time.Duration)
	stop := showProgress(time.Millisecond, func(waited time.Duration) {
		select {
		case notified <- waited:
		default:
		}
	})
	if waited := <-notified; waited < time.Millisecond {
		t.Errorf("got %s, want at least the interval", waited)
	}
	stop()
	select {
	case waited := <-notified:
		t.Errorf("notified of %s after the stop", waited)
	default:
	}
}
