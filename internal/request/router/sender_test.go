package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

func TestRouterRefusesSlowSenders(t *testing.T) {
	runner := newFakeRunner(t, "charm-1", echo)
	c := newCluster(t, []string{"atl-a-1"}, runner)
	for name, test := range map[string]struct {
		path   string
		length int
		status int
	}{
		"short body":    {"/charms/1", 100, http.StatusRequestTimeout},
		"long body":     {"/charms/1", 200 << 10, http.StatusGatewayTimeout},
		"unknown route": {"/trays", 100, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", c.daemons[0].callers.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\n%s: 100\r\nContent-Length: %d\r\n\r\nhalf",
				test.path, answerer.HeaderDeadline, test.length)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != test.status || resp.Header.Get(answerer.HeaderOutcome) == string(answerer.OutcomeAnswered) {
				t.Errorf("answer = %d, %v; want %d", resp.StatusCode, resp.Header, test.status)
			}
		})
	}
	if err := c.daemons[0].slots.Drain(t.Context()); err != nil {
		t.Error(err)
	}
}
