// Package operating tests the operators' command-line tool against real daemons.
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
	// patience is how long a test waits for a condition.
	patience = 30 * time.Second
	// tasks is the number of tasks of each intent.
	tasks = 6
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// A fixture is a cluster with a directory for the tool's files.
type fixture struct {
	*harness.Cluster
	t         *testing.T
	directory string
}

// newFixture starts a cluster of two data centres in different regions.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	return &fixture{t: t, directory: t.TempDir(), Cluster: harness.Start(t, harness.Options{Sites: []harness.Site{
		{DataCentre: "atl-a", Region: "north-ga", Daemons: 2, Workers: 2, Runners: 1},
		{DataCentre: "sav-a", Region: "south-ga", Daemons: 1, Workers: 2, Runners: 1},
	}})}
}

// A result is the tool's exit code and output.
type result struct {
	code           int
	stdout, stderr string
}

// kumquat runs the tool with the addresses of daemons, which it tries in turn.
func (f *fixture) kumquat(daemons []*harness.Daemon, args ...string) result {
	f.t.Helper()
	all := []string{"--plaintext", "--timeout", "3s"}
	for _, daemon := range daemons {
		all = append(all, "--address", daemon.Operators)
	}
	var stdout, stderr bytes.Buffer
	code := cli.Main(append(all, args...), strings.NewReader(""), &stdout, &stderr)
	return result{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// write writes a file to the fixture's directory and returns its path.
func (f *fixture) write(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.directory, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// intent writes an intent and returns its path and the path for its plan.
func (f *fixture) intent(name string) (document, plan string) {
	f.t.Helper()
	content := fmt.Sprintf("name: %s\nteam: %s\nclass: %s\nkind: runBy\ncount: %d\nresources: {cores: 1, memoryGB: 1}\nwithin: 1h\nexpectedRun: 300ms\n",
		name, harness.Team, harness.Class, tasks)
	return f.write(name+".yaml", content), filepath.Join(f.directory, name+".json")
}

// assertRuns runs the tool and fails the test unless it exits with a code.
func (f *fixture) assertRuns(daemons []*harness.Daemon, want int, args ...string) result {
	f.t.Helper()
	got := f.kumquat(daemons, args...)
	if got.code != want {
		f.t.Errorf("kumquat %v: code %d, want %d\n%s%s", args, got.code, want, got.stdout, got.stderr)
	}
	return got
}

func assertContains(t *testing.T, text, want string) {
	t.Helper()
	if !strings.Contains(text, want) {
		t.Errorf("%q is missing in\n%s", want, text)
	}
}

// TestPlanConfirmStatus checks that an intent can be planned, confirmed and watched
// through different daemons, and that confirming it again has no effect.
func TestPlanConfirmStatus(t *testing.T) {
	f := newFixture(t)
	first, second, third := f.Daemons[:1], f.Daemons[1:2], f.Daemons[2:]
	document, plan := f.intent("night-casting")

	harness.Eventually(t, patience, "all workers are known", func() bool {
		shown := f.assertRuns(first, 0, "plan", "-f", document, "--out", plan)
		return strings.Contains(shown.stdout, "Starts now: 6")
	})
	f.assertRuns(second, 0, "confirm", "--wait", plan)
	again := f.assertRuns(third, 0, "confirm", plan)
	assertContains(t, again.stdout, "already confirmed")
	for _, daemon := range f.Daemons {
		status := f.assertRuns([]*harness.Daemon{daemon}, 0, "status", "--tasks", "night-casting")
		assertContains(t, status.stdout, "finished 6")
	}
	unknown := f.assertRuns(first, 1, "status", "day-casting")
	assertContains(t, unknown.stderr, "no intent of that name")
	timeline := f.assertRuns(first, 0, "timeline", "--limit", "5000")
	for _, daemon := range f.Daemons {
		assertContains(t, timeline.stdout, daemon.Name)
	}
	f.AssertNoBreach()
}

// TestCancelRightAfterConfirm checks that an intent can be cancelled before all shards
// have received it, and again later, and that both calls count all its tasks.
func TestCancelRightAfterConfirm(t *testing.T) {
	f := newFixture(t)
	document, plan := f.intent("short-casting")
	f.assertRuns(f.Daemons[:1], 0, "plan", "-f", document, "--out", plan)
	f.assertRuns(f.Daemons[1:2], 0, "confirm", plan)
	const want = "short-casting is cancelled: 6 tasks"
	none := f.assertRuns(f.Daemons[:1], 1, "cancel", "short-casting", "--task", "short-casting/6")
	assertContains(t, none.stderr, "from short-casting/0 to short-casting/5")
	assertContains(t, f.assertRuns(f.Daemons[2:], 0, "cancel", "short-casting").stdout, want)
	f.assertRuns(f.Daemons[:1], 7, "status", "--wait", "--for", patience.String(), "short-casting")
	assertContains(t, f.assertRuns(f.Daemons[:1], 0, "status", "short-casting").stdout, "cancelled 6")
	assertContains(t, f.assertRuns(f.Daemons[:1], 0, "cancel", "short-casting").stdout, want)
	f.AssertNoBreach()
}

// TestConfirmThroughPausedDaemon checks that an intent runs once though it is confirmed
// twice: through a paused daemon, which handles the call when it resumes, and through
// another daemon meanwhile.
func TestConfirmThroughPausedDaemon(t *testing.T) {
	f := newFixture(t)
	paused, live := f.Daemons[0], f.Daemons[1]
	document, plan := f.intent("paused-casting")
	f.assertRuns([]*harness.Daemon{live}, 0, "plan", "-f", document, "--out", plan)
	paused.Pause()
	f.assertRuns([]*harness.Daemon{paused}, 4, "confirm", plan)
	f.assertRuns([]*harness.Daemon{paused, live}, 0, "confirm", plan)
	paused.Resume()
	f.assertRuns([]*harness.Daemon{live}, 0, "status", "--wait", "--for", patience.String(), "paused-casting")
	status := f.assertRuns([]*harness.Daemon{live}, 0, "status", "paused-casting")
	assertContains(t, status.stdout, "finished 6")
	f.AssertNoBreach()
}

// TestOperatorsRace checks that of several changes based on the same version, applied
// through different daemons at the same time, one is accepted and the others are
// refused because of their version.
func TestOperatorsRace(t *testing.T) {
	f := newFixture(t)
	var base struct {
		BaseVersion int64 `json:"baseVersion"`
	}
	plain := f.write("base.yaml", harness.DeclarationsOf([]harness.Site{
		{DataCentre: "atl-a", Region: "north-ga"}, {DataCentre: "sav-a", Region: "south-ga"},
	}))
	shown := f.assertRuns(f.Daemons, 0, "--output", "json", "diff", "-f", plain)
	if err := json.Unmarshal([]byte(shown.stdout), &base); err != nil {
		t.Fatal(err)
	}
	results := make([]result, len(f.Daemons))
	var group sync.WaitGroup
	for i, daemon := range f.Daemons {
		document := harness.DeclarationsOf([]harness.Site{
			{DataCentre: "atl-a", Region: "north-ga"}, {DataCentre: "sav-a", Region: "south-ga"}, {DataCentre: fmt.Sprintf("new-%d", i), Region: "south-ga"},
		})
		path := f.write(fmt.Sprintf("race-%d.yaml", i), document)
		group.Go(func() {
			results[i] = f.kumquat([]*harness.Daemon{daemon}, "apply", "--base-version", fmt.Sprint(base.BaseVersion), "-f", path)
		})
	}
	group.Wait()
	winners := 0
	for i, got := range results {
		switch got.code {
		case 0:
			winners++
			same := fmt.Sprintf("race-%d.yaml", i)
			f.assertRuns(f.Daemons, 0, "diff", "--exit-code", "-f", filepath.Join(f.directory, same))
		case 1:
			assertContains(t, got.stderr, "version")
		default:
			t.Errorf("kumquat apply: code %d, want 0 or 1\n%s", got.code, got.stderr)
		}
	}
	if winners != 1 {
		t.Errorf("%d changes were accepted, want 1", winners)
	}
}

// TestDataCentreOutAndIn checks that plans avoid a data centre that is out of service,
// that applying a file doesn't silently bring it back, that plans made before it is
// back are stale, and that only a data centre out of service can be removed.
func TestDataCentreOutAndIn(t *testing.T) {
	f := newFixture(t)
	document, plan := f.intent("moved-casting")
	f.assertRuns(f.Daemons[2:], 0, "datacentre", "out", "sav-a")
	f.assertSameVersions()
	harness.Eventually(t, patience, "the plan uses only the other data centre", func() bool {
		shown := f.assertRuns(f.Daemons[:1], 0, "plan", "-f", document, "--out", plan)
		if strings.Contains(shown.stdout, "sav-a ") {
			t.Errorf("a task is planned in a data centre that is out\n%s", shown.stdout)
		}
		return strings.Contains(shown.stdout, "(atl-a 6)")
	})
	back := f.write("back.yaml", harness.DeclarationsOf([]harness.Site{
		{DataCentre: "atl-a", Region: "north-ga"}, {DataCentre: "sav-a", Region: "south-ga"},
	}))
	refused := f.assertRuns(f.Daemons[:1], 1, "apply", "-f", back)
	assertContains(t, refused.stderr, "bring sav-a back")
	f.assertRuns(f.Daemons[1:2], 0, "datacentre", "in", "sav-a")
	stale := f.assertRuns(f.Daemons[:1], 1, "confirm", plan)
	assertContains(t, stale.stderr, "next:")
	fewer := f.write("fewer.yaml", harness.DeclarationsOf([]harness.Site{{DataCentre: "atl-a", Region: "north-ga"}}))
	refused = f.assertRuns(f.Daemons[:1], 1, "apply", "-f", fewer)
	assertContains(t, refused.stderr, "removal of data centre sav-a refused\n  why:  it is in service")
	f.assertRuns(f.Daemons[:1], 0, "datacentre", "out", "sav-a")
	harness.Eventually(t, patience, "the empty data centre is removed", func() bool {
		return f.kumquat(f.Daemons[:1], "apply", "-f", fewer).code == 0
	})
	f.AssertNoBreach()
}

// assertSameVersions fails the test unless every daemon shows the same version of the
// declarations for all daemons.
func (f *fixture) assertSameVersions() {
	f.t.Helper()
	versions := map[int64]bool{}
	for _, daemon := range f.Daemons {
		status, err := daemon.Operator().Status(f.t.Context(), &kumquatv1.StatusRequest{})
		if err != nil {
			f.t.Fatal(err)
		}
		for _, shown := range status.GetDaemons() {
			versions[shown.GetConfigurationVersion()] = true
		}
	}
	if len(versions) != 1 {
		f.t.Errorf("versions %v are shown after a change that all daemons confirmed, want one", versions)
	}
}

// TestStoreOutage checks that changes fail with an exit code that says so while the
// store is unavailable, that status still works, and that changes succeed once the
// store is back.
func TestStoreOutage(t *testing.T) {
	f := newFixture(t)
	document, plan := f.intent("late-casting")
	f.assertRuns(f.Daemons, 0, "plan", "-f", document, "--out", plan)
	f.SetStoreFaults(keyvalue.Faults{Outage: true})
	for _, args := range [][]string{{"datacentre", "out", "sav-a"}, {"confirm", plan}} {
		got := f.kumquat(f.Daemons, args...)
		if got.code != 3 && got.code != 4 {
			t.Errorf("kumquat %v: code %d, want 3 or 4\n%s", args, got.code, got.stderr)
		}
	}
	f.assertRuns(f.Daemons, 0, "status")
	f.SetStoreFaults(keyvalue.Faults{})
	harness.Eventually(t, patience, "the plan is confirmed", func() bool {
		return f.kumquat(f.Daemons, "confirm", plan).code == 0
	})
	f.assertRuns(f.Daemons, 0, "status", "--wait", "--for", patience.String(), "late-casting")
	f.AssertNoBreach()
}
