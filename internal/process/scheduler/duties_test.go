package scheduler

import (
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/connection/relayer"
	"github.com/kumquatstack/kumquatstack/internal/process/elector"
)

// Guards against a successor that takes a former owner for ended while that one still loads
// its records, and goes on to serve.
func TestFormerTermIsOver(t *testing.T) {
	t.Parallel()
	former := elector.Owner{Instance: "a", Fence: 7}
	for _, c := range []struct {
		name string
		term relayer.TermStatus
		want bool
	}{
		{"serves", relayer.TermStatus{Instance: "a", Serves: true}, false},
		{"does not serve yet", relayer.TermStatus{Instance: "a"}, false},
		{"an earlier term has ended", relayer.TermStatus{Instance: "a", Ended: 6}, false},
		{"has ended", relayer.TermStatus{Instance: "a", Ended: 7}, true},
		{"another process", relayer.TermStatus{Instance: "b"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if got := isOver(c.term, former); got != c.want {
				t.Errorf("over: %t, want %t", got, c.want)
			}
		})
	}
}
