// Package operating tests the operators' tool against real daemons.
package operating

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/cli"
	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

const (
	patience = 30 * time.Second
	// tasks is the number of tasks of each intent.
	tasks = 6
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// A bench is a cluster with the tool's files.
type bench struct {
	*harness.Cluster
	t         *testing.T
	directory string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	return &bench{t: t, directory: t.TempDir(), Cluster: harness.Start(t, harness.Options{Sites: []harness.Site{
		{DataCentre: "atl-a", Region: "north-ga", Daemons: 2, Workers: 2, Runners: 1},
		{DataCentre: "sav-a", Region: "south-ga", Daemons: 1, Workers: 2, Runners: 1},
	}})}
}

// A result is what the tool wrote and its exit code.
type result struct {
	code           int
	stdout, stderr string
}

// kumquat runs the tool with the addresses of daemons, tried in turn.
func (b *bench) kumquat(daemons []*harness.Daemon, args ...string) result {
	b.t.Helper()
	all := []string{"--plaintext", "--timeout", "3s"}
	for _, daemon := range daemons {
		all = append(all, "--address", daemon.Operators)
	}
	var stdout, stderr bytes.Buffer
	code := cli.Main(append(all, args...), strings.NewReader(""), &stdout, &stderr)
	return result{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// write writes a file and returns its path.
func (b *bench) write(name, content string) string {
	b.t.Helper()
	path := filepath.Join(b.directory, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// intent writes an intent and returns the paths of it and of its plan.
func (b *bench) intent(name string) (document, plan string) {
	b.t.Helper()
	content := fmt.Sprintf("name: %s\nteam: %s\nclass: %s\nkind: runBy\ncount: %d\nresources: {cores: 1, memoryGB: 1}\nwithin: 1h\nexpectedRun: 300ms\n",
		name, harness.Team, harness.Class, tasks)
	return b.write(name+".yaml", content), filepath.Join(b.directory, name+".json")
}

func (b *bench) assertRuns(daemons []*harness.Daemon, want int, args ...string) result {
	b.t.Helper()
	got := b.kumquat(daemons, args...)
	if got.code != want {
		b.t.Errorf("kumquat %v: code %d, want %d\n%s%s", args, got.code, want, got.stdout, got.stderr)
	}
	return got
}

func assertContains(t *testing.T, text, want string) {
	t.Helper()
	if !strings.Contains(text, want) {
		t.Errorf("%q is missing in\n%s", want, text)
	}
}

func TestPlanConfirmStatus(t *testing.T) {
	b := newBench(t)
	first, second, third := b.Daemons[:1], b.Daemons[1:2], b.Daemons[2:]
	document, plan := b.intent("night-casting")

	harness.Eventually(t, patience, "all workers are known", func() bool {
		shown := b.assertRuns(first, 0, "plan", "-f", document, "--out", plan)
		return strings.Contains(shown.stdout, "Starts now: 6")
	})
	b.assertRuns(second, 0, "confirm", "--wait", plan)
	again := b.assertRuns(third, 0, "confirm", plan)
	assertContains(t, again.stdout, "already confirmed")
	for _, daemon := range b.Daemons {
		status := b.assertRuns([]*harness.Daemon{daemon}, 0, "status", "--tasks", "night-casting")
		assertContains(t, status.stdout, "finished 6")
	}
	unknown := b.assertRuns(first, 1, "status", "day-casting")
	assertContains(t, unknown.stderr, "no intent of that name")
	timeline := b.assertRuns(first, 0, "timeline", "--limit", "5000")
	for _, daemon := range b.Daemons {
		assertContains(t, timeline.stdout, daemon.Name)
	}
	b.AssertNoBreach()
}

// TestCancelAtOnce cancels before all shards have taken the intent in, and
// again afterwards; both calls count all its tasks.
func TestCancelAtOnce(t *testing.T) {
	b := newBench(t)
	document, plan := b.intent("short-casting")
	b.assertRuns(b.Daemons[:1], 0, "plan", "-f", document, "--out", plan)
	b.assertRuns(b.Daemons[1:2], 0, "confirm", plan)
	const want = "short-casting is cancelled: 6 tasks"
	none := b.assertRuns(b.Daemons[:1], 1, "cancel", "short-casting", "--task", "short-casting/6")
	assertContains(t, none.stderr, "from short-casting/0 to short-casting/5")
	assertContains(t, b.assertRuns(b.Daemons[2:], 0, "cancel", "short-casting").stdout, want)
	b.assertRuns(b.Daemons[:1], 7, "status", "--wait", "--for", patience.String(), "short-casting")
	assertContains(t, b.assertRuns(b.Daemons[:1], 0, "status", "short-casting").stdout, "cancelled 6")
	assertContains(t, b.assertRuns(b.Daemons[:1], 0, "cancel", "short-casting").stdout, want)
	b.AssertNoBreach()
}

// TestConfirmThroughPausedDaemon confirms through a daemon that stands still
// and gets the call once it goes on, and then through another one.
func TestConfirmThroughPausedDaemon(t *testing.T) {
	b := newBench(t)
	paused, live := b.Daemons[0], b.Daemons[1]
	document, plan := b.intent("paused-casting")
	b.assertRuns([]*harness.Daemon{live}, 0, "plan", "-f", document, "--out", plan)
	paused.Pause()
	b.assertRuns([]*harness.Daemon{paused}, 4, "confirm", plan)
	b.assertRuns([]*harness.Daemon{paused, live}, 0, "confirm", plan)
	paused.Resume()
	b.assertRuns([]*harness.Daemon{live}, 0, "status", "--wait", "--for", patience.String(), "paused-casting")
	status := b.assertRuns([]*harness.Daemon{live}, 0, "status", "paused-casting")
	assertContains(t, status.stdout, "finished 6")
	b.AssertNoBreach()
}

// TestOperatorsRace applies different files through different daemons: one is
// accepted, and the others are told why theirs was not.
func TestOperatorsRace(t *testing.T) {
	b := newBench(t)
	var base struct {
		BaseVersion int64 `json:"baseVersion"`
	}
	plain := b.write("base.yaml", harness.DeclarationsOf([]harness.Site{
		{DataCentre: "atl-a", Region: "north-ga"}, {DataCentre: "sav-a", Region: "south-ga"},
	}))
	shown := b.assertRuns(b.Daemons, 0, "--output", "json", "diff", "-f", plain)
	if err := json.Unmarshal([]byte(shown.stdout), &base); err != nil {
		t.Fatal(err)
	}
	results := make([]result, len(b.Daemons))
	var group sync.WaitGroup
	for i, daemon := range b.Daemons {
		document := harness.DeclarationsOf([]harness.Site{
			{DataCentre: "atl-a", Region: "north-ga"}, {DataCentre: "sav-a", Region: "south-ga"}, {DataCentre: fmt.Sprintf("new-%d", i), Region: "south-ga"},
		})
		path := b.write(fmt.Sprintf("race-%d.yaml", i), document)
		group.Go(func() {
			results[i] = b.kumquat([]*harness.Daemon{daemon}, "apply", "--base-version", fmt.Sprint(base.BaseVersion), "-f", path)
		})
	}
	group.Wait()
	winners := 0
	for i, got := range results {
		switch got.code {
		case 0:
			winners++
			same := fmt.Sprintf("race-%d.yaml", i)
			b.assertRuns(b.Daemons, 0, "diff", "--exit-code", "-f", filepath.Join(b.directory, same))
		case 1:
			assertContains(t, got.stderr, "version")
		default:
			t.Errorf("code %d\n%s", got.code, got.stderr)
		}
	}
	if winners != 1 {
		t.Errorf("%d changes were accepted, want 1", winners)
	}
}

func TestDataCentreOutAndIn(t *testing.T) {
	b := newBench(t)
	document, plan := b.intent("moved-casting")
	b.assertRuns(b.Daemons[2:], 0, "datacentre", "out", "sav-a")
	b.assertSameVersions()
	harness.Eventually(t, patience, "the plan keeps to the other data centre", func() bool {
		shown := b.assertRuns(b.Daemons[:1], 0, "plan", "-f", document, "--out", plan)
		if strings.Contains(shown.stdout, "sav-a ") {
			t.Errorf("a task is planned in a data centre that is out\n%s", shown.stdout)
		}
		return strings.Contains(shown.stdout, "(atl-a 6)")
	})
	back := b.write("back.yaml", harness.DeclarationsOf([]harness.Site{
		{DataCentre: "atl-a", Region: "north-ga"}, {DataCentre: "sav-a", Region: "south-ga"},
	}))
	refused := b.assertRuns(b.Daemons[:1], 1, "apply", "-f", back)
	assertContains(t, refused.stderr, "bring sav-a back")
	b.assertRuns(b.Daemons[1:2], 0, "datacentre", "in", "sav-a")
	stale := b.assertRuns(b.Daemons[:1], 1, "confirm", plan)
	assertContains(t, stale.stderr, "next:")
	fewer := b.write("fewer.yaml", harness.DeclarationsOf([]harness.Site{{DataCentre: "atl-a", Region: "north-ga"}}))
	refused = b.assertRuns(b.Daemons[:1], 1, "apply", "-f", fewer)
	assertContains(t, refused.stderr, "removal of data centre sav-a refused\n  why:  it is in service")
	b.assertRuns(b.Daemons[:1], 0, "datacentre", "out", "sav-a")
	harness.Eventually(t, patience, "the empty data centre is removed", func() bool {
		return b.kumquat(b.Daemons[:1], "apply", "-f", fewer).code == 0
	})
	b.AssertNoBreach()
}

// assertSameVersions checks that every daemon shows one version for all.
func (b *bench) assertSameVersions() {
	b.t.Helper()
	versions := map[int64]bool{}
	for _, daemon := range b.Daemons {
		status, err := daemon.Operator().Status(b.t.Context(), &kumquatv1.StatusRequest{})
		if err != nil {
			b.t.Fatal(err)
		}
		for _, shown := range status.GetDaemons() {
			versions[shown.GetConfigurationVersion()] = true
		}
	}
	if len(versions) != 1 {
		b.t.Errorf("versions %v are shown after a change that all have confirmed", versions)
	}
}

// TestStoreOutage changes nothing while the store is out, says so, and goes on
// when it is back.
func TestStoreOutage(t *testing.T) {
	b := newBench(t)
	document, plan := b.intent("late-casting")
	b.assertRuns(b.Daemons, 0, "plan", "-f", document, "--out", plan)
	b.SetStoreFaults(keyvalue.Faults{Outage: true})
	for _, args := range [][]string{{"datacentre", "out", "sav-a"}, {"confirm", plan}} {
		got := b.kumquat(b.Daemons, args...)
		if got.code != 3 && got.code != 4 {
			t.Errorf("kumquat %v: code %d\n%s", args, got.code, got.stderr)
		}
	}
	b.assertRuns(b.Daemons, 0, "status")
	b.SetStoreFaults(keyvalue.Faults{})
	harness.Eventually(t, patience, "the plan is confirmed", func() bool {
		return b.kumquat(b.Daemons, "confirm", plan).code == 0
	})
	b.assertRuns(b.Daemons, 0, "status", "--wait", "--for", patience.String(), "late-casting")
	b.AssertNoBreach()
}
