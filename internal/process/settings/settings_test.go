package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

const sampleDocument = `name: atl-a-1
dataCentre: atl-a
region: north-ga
listen:
  callers: 10.1.0.5:7000
  peers: 10.1.0.5:7001
  operators: 10.1.0.5:7002
  health: 10.1.0.5:7003
advertise:
  peers: 10.1.0.9:9001
store: {endpoint: "http://10.1.0.2:2379"}
hostList: {endpoint: "http://10.1.0.3:2380"}
seeds: [10.1.0.6:7001]
plaintext: true
`

func TestParse(t *testing.T) {
	set, err := Parse("s.yaml", []byte(sampleDocument))
	if err != nil {
		t.Fatal(err)
	}
	t.Run("advertised address given", func(t *testing.T) { assertEqual(t, set.Advertise.Peers, "10.1.0.9:9001") })
	t.Run("advertised address defaults", func(t *testing.T) { assertEqual(t, set.Advertise.Callers, "10.1.0.5:7000") })
	t.Run("poll interval defaults", func(t *testing.T) { assertEqual(t, set.HostList.PollInterval, time.Second) })
}

func TestParseFaults(t *testing.T) {
	for name, c := range map[string]struct {
		old, new string
		line     int
		key      string
	}{
		"host name":             {"callers: 10.1.0.5:7000", "callers: localhost:7000", 5, "listen.callers"},
		"no port":               {"seeds: [10.1.0.6:7001]", "seeds: [10.1.0.6]", 13, "seeds[0]"},
		"address used twice":    {"10.1.0.5:7002", "10.1.0.5:7001", 7, "listen.operators"},
		"unreachable address":   {"10.1.0.5:7000", "0.0.0.0:7000", 9, "advertise.callers"},
		"no TLS":                {"plaintext: true\n", "", 1, "tls"},
		"tokens in plaintext":   {"plaintext: true", "plaintext: true\ntokens: settings.go", 15, "tokens"},
		"store is no URL":       {"http://10.1.0.2:2379", "10.1.0.2:2379", 11, "store.endpoint"},
		"unknown level":         {"plaintext: true", "plaintext: true\nlogLevel: loud", 15, "logLevel"},
		"poll interval, a unit": {"hostList: {", "hostList: {pollInterval: 5 sec, ", 12, "hostList.pollInterval"},
		"poll interval, range":  {"hostList: {", "hostList: {pollInterval: 5ms, ", 12, "hostList.pollInterval"},
		"rerouted host name":    {"plaintext: true", "plaintext: true\nreroute: {10.1.0.6:7001: relay:1}", 15, "reroute"},
		"unknown key":           {"  health:", "  helth:", 8, "listen.helth"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("s.yaml", []byte(strings.Replace(sampleDocument, c.old, c.new, 1)))
			assertProblem(t, err, c.line, c.key)
		})
	}
}

func assertEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func assertProblem(t *testing.T, err error, line int, key string) {
	t.Helper()
	var documentErr *errs.DocumentError
	if !errors.As(err, &documentErr) {
		t.Fatalf("got error %v, want a document error", err)
	}
	for _, problem := range documentErr.Problems {
		if problem.Line == line && problem.Key == key && problem.Accepted != "" {
			return
		}
	}
	t.Errorf("got\n%v\nwant a problem on line %d, key %q, with accepted values", err, line, key)
}
