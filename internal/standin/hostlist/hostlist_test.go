package hostlist

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
)

func assertState(t *testing.T, source lister.Lister, want lister.HostState) {
	t.Helper()
	hosts, err := source.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(hosts) != 1 || hosts[0].State != want {
		t.Fatalf("hosts %+v, want one that is %s", hosts, want)
	}
}

func TestList(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	list := New()
	list.SetClock(func() time.Time { return now })
	list.SetFaults(Faults{LagMillis: 5000})
	list.SetHosts([]lister.Host{{Name: "r", State: lister.StateLive}})
	server := httptest.NewServer(NewHandler(list))
	defer server.Close()
	client := lister.NewClient(server.URL, nil)
	defer func() { _ = client.Close() }()
	if err := list.SetState("r", lister.StateLeaving); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	t.Run("shows a change after the lag", func(t *testing.T) { assertState(t, client, lister.StateLeaving) })
	if err := list.SetState("r", lister.StateLive); err != nil {
		t.Fatal(err)
	}
	t.Run("hides a change during the lag", func(t *testing.T) { assertState(t, client, lister.StateLeaving) })
	t.Run("fails during an outage", func(t *testing.T) {
		list.SetFaults(Faults{Outage: true})
		if hosts, err := client.Hosts(t.Context()); err == nil {
			t.Fatalf("hosts %v during an outage", hosts)
		}
	})
	t.Run("refuses the state of an unknown host", func(t *testing.T) {
		if err := list.SetState("x", lister.StateLive); err == nil {
			t.Fatal("no error for an unknown host")
		}
	})
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	list := New()
	list.SetHosts([]lister.Host{{Name: "r", State: lister.StateLive}})
	handler := NewHandler(list)
	var status int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		status = recorder.Code
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := lister.NewClient(server.URL, nil)
	defer func() { _ = client.Close() }()
	for _, step := range []struct {
		name   string
		state  lister.HostState
		status int
	}{
		{"first", lister.StateLive, http.StatusOK},
		{"unchanged", lister.StateLive, http.StatusNotModified},
		{"changed", lister.StateLeaving, http.StatusOK},
		{"unchanged again", lister.StateLeaving, http.StatusNotModified},
	} {
		t.Run(step.name, func(t *testing.T) {
			if err := list.SetState("r", step.state); err != nil {
				t.Fatal(err)
			}
			assertState(t, client, step.state)
			if status != step.status {
				t.Errorf("status %d, want %d", status, step.status)
			}
		})
	}
}
