package declarer

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

const sampleDocument = `regions:
  - name: north-ga
    dataCentres:
      - name: atl-a
      - name: ath-a
upstreams:
  - name: charm-orders
    maxDuration: 2s
    retryPercent: 0
routes:
  - path: /charms
    upstream: charm-orders
    keyRequired: true
teams:
  - name: studio
    quota: {cores: 100, memoryGB: 400}
classes:
  - name: cleanup
    latencyCritical: true
    target: 40ms
`

func TestParse(t *testing.T) {
	declared, err := Parse("d.yaml", []byte(sampleDocument))
	if err != nil {
		t.Fatal(err)
	}
	t.Run("given values", func(t *testing.T) {
		assertEqual(t, declared.Upstreams[0].MaxDuration, 2*time.Second)
		assertEqual(t, declared.Upstreams[0].RetryPercent, 0)
		assertEqual(t, declared.Teams[0].Quota.MilliCores(), 100_000)
	})
	t.Run("defaults", func(t *testing.T) {
		assertEqual(t, declared.Upstreams[0].SlotsPerRunner, 8)
		assertEqual(t, declared.Upstreams[0].ConnectionsPerRunner, 64)
		assertEqual(t, declared.Batch.Lease, 10*time.Second)
		assertEqual(t, declared.Routes[0].MissCost, 1)
	})
}

func TestParseFaults(t *testing.T) {
	for name, c := range map[string]struct {
		old, new string
		line     int
		key      string
		accepted string
	}{
		"unknown key":         {"retryPercent: 0", "retries: 0", 9, "upstreams[0].retries", "retryPercent"},
		"unknown unit":        {"maxDuration: 2s", "maxDuration: 2 seconds", 8, "upstreams[0].maxDuration", "250ms"},
		"no unit":             {"maxDuration: 2s", "maxDuration: 2", 8, "upstreams[0].maxDuration", "250ms"},
		"out of range":        {"maxDuration: 2s", "maxDuration: 2h", 8, "upstreams[0].maxDuration", "10ms to 10m"},
		"fraction":            {"retryPercent: 0", "retryPercent: 0.5", 9, "upstreams[0].retryPercent", "a whole number"},
		"not a boolean":       {"keyRequired: true", "keyRequired: yes", 13, "routes[0].keyRequired", "true or false"},
		"duplicate name":      {"- name: ath-a", "- name: atl-a", 5, "regions[0].dataCentres[1].name", "used once"},
		"undeclared upstream": {"upstream: charm-orders", "upstream: charms", 12, "routes[0].upstream", "charm-orders"},
		"missing name":        {"- name: studio\n    quota", "- quota", 15, "teams[0].name", "letters"},
		"relative path":       {"path: /charms", "path: charms", 11, "routes[0].path", "starts with /"},
		"infinite amount":     {"cores: 100", "cores: .inf", 16, "teams[0].quota.cores", "a number"},
		"no value":            {"target: 40ms", "target:", 20, "classes[0].target", "a value"},
		"target of batch":     {"latencyCritical: true", "latencyCritical: false", 20, "classes[0].target", "latencyCritical: true"},
		"repeated key":        {"retryPercent: 0", "maxDuration: 3s", 9, "", ""},
		"second document":     {"routes:", "---\nroutes:", 11, "", "one YAML document"},
		"alias":               {"cores: 100", "cores: *x", 16, "teams[0].quota.cores", "written out"},
	} {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(sampleDocument, c.old) {
				t.Fatalf("the sample has no %q", c.old)
			}
			_, err := Parse("d.yaml", []byte(strings.Replace(sampleDocument, c.old, c.new, 1)))
			assertProblem(t, err, c.line, c.key, c.accepted)
		})
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	document := strings.NewReplacer("retryPercent: 0", "retryPercent: 101", "path: /charms", "path: charms").Replace(sampleDocument)
	_, err := Parse("d.yaml", []byte(document))
	assertProblem(t, err, 9, "upstreams[0].retryPercent", "0 to 100")
	assertProblem(t, err, 11, "routes[0].path", "starts with /")
}

func TestParseIntent(t *testing.T) {
	const document = "name: night-casting\nteam: studio\nclass: casting\nkind: runBy\ncount: 40\n" +
		"resources: {cores: 2, memoryGB: 4}\nwithin: 6h\nexpectedRun: 20m\n"
	now := time.Date(2026, 12, 4, 18, 0, 0, 0, time.UTC)
	intent, err := ParseIntent("i.yaml", []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	t.Run("deadline", func(t *testing.T) { assertEqual(t, intent.DeadlineAt(now), now.Add(6*time.Hour)) })
	for name, c := range map[string]struct {
		old, new string
		line     int
		key      string
		accepted string
	}{
		"no deadline":             {"within: 6h\n", "", 1, "deadline", "within"},
		"two deadlines":           {"within: 6h", "within: 6h\ndeadline: 2026-12-05T00:00:00Z", 7, "within", "one of"},
		"unknown kind":            {"kind: runBy", "kind: runLater", 4, "kind", "one of runNow, runBy, keepRunning"},
		"no tasks":                {"count: 40", "count: 0", 5, "count", "1 to 20000"},
		"no processor":            {"cores: 2, ", "", 6, "resources.cores", "more than 0"},
		"deadline without a zone": {"within: 6h", "deadline: 2026-12-05", 7, "deadline", "a time such as"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseIntent("i.yaml", []byte(strings.Replace(document, c.old, c.new, 1)))
			assertProblem(t, err, c.line, c.key, c.accepted)
		})
	}
	t.Run("undeclared team and class", func(t *testing.T) {
		declared, _ := Parse("d.yaml", []byte(sampleDocument))
		_, err := declared.CheckIntent("i.yaml", []byte(strings.Replace(document, "studio", "foundry", 1)))
		assertProblem(t, err, 2, "team", "studio")
		assertProblem(t, err, 3, "class", "cleanup")
	})
}

func assertEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func assertProblem(t *testing.T, err error, line int, key, accepted string) {
	t.Helper()
	var faulty *errs.DocumentError
	if !errors.As(err, &faulty) {
		t.Fatalf("got error %v, want a document error", err)
	}
	for _, problem := range faulty.Problems {
		if problem.Line == line && problem.Key == key && strings.Contains(problem.Accepted, accepted) {
			return
		}
	}
	t.Errorf("got\n%v\nwant a problem on line %d, key %q, accepted %q", err, line, key, accepted)
}
