package hostwatcher

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

type listerFunc func() ([]lister.Host, error)

func (f listerFunc) Hosts(context.Context) ([]lister.Host, error) { return f() }

func TestPoll(t *testing.T) {
	var answer []lister.Host
	var failure error
	changes := 0
	w := New(Options{
		Lister:   listerFunc(func() ([]lister.Host, error) { return answer, failure }),
		Recorder: recorder.Discard{},
		Now:      time.Now,
		OnChange: func([]lister.Host) { changes++ },
	})
	step := func(name string, hosts []lister.Host, err error, wantHosts, wantChanges int) {
		t.Run(name, func(t *testing.T) {
			answer, failure = hosts, err
			w.poll(context.Background())
			if len(w.Hosts()) != wantHosts || changes != wantChanges {
				t.Errorf("%d hosts after %d changes, want %d after %d", len(w.Hosts()), changes, wantHosts, wantChanges)
			}
		})
	}
	step("takes the first list", []lister.Host{{Name: "a"}}, nil, 1, 1)
	step("ignores an equal list", []lister.Host{{Name: "a"}}, nil, 1, 1)
	step("keeps the list when it can't be read", nil, errors.New("down"), 1, 1)
	step("takes a changed list", []lister.Host{{Name: "a"}, {Name: "b"}}, nil, 2, 2)
}
