package operating

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/cli"
	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/certifier"
)

// TestEncrypted runs an intent and forwards work between daemons that accept
// only each other's certificates and the operators'.
func TestEncrypted(t *testing.T) {
	directory := t.TempDir()
	authority, err := certifier.New(directory, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	files, err := authority.Issue("operator")
	if err != nil {
		t.Fatal(err)
	}
	sites := []harness.Site{
		{DataCentre: "atl-a", Region: "north-ga", Daemons: 2, Workers: 2, Runners: 1},
		{DataCentre: "sav-a", Region: "south-ga", Daemons: 1, Workers: 2, Runners: 1},
	}
	cluster := harness.Start(t, harness.Options{Sites: sites, Authority: authority, Unready: true})
	b := &bench{Cluster: cluster, t: t, directory: directory}
	declarations := b.write("declarations.yaml", harness.DeclarationsOf(sites))
	run := func(daemon *harness.Daemon, args ...string) result {
		var stdout, stderr bytes.Buffer
		all := append([]string{"--timeout", "5s", "--address", daemon.Operators, "--tls-certificate", files.Certificate, "--tls-key", files.Key, "--tls-authority", files.Authority}, args...)
		return result{cli.Main(all, strings.NewReader(""), &stdout, &stderr), stdout.String(), stderr.String()}
	}
	harness.Eventually(t, patience, "declarations are accepted", func() bool {
		return run(cluster.Daemons[0], "apply", "-f", declarations).code == 0
	})
	cluster.AwaitReady(cluster.Daemons...)

	document, plan := b.intent("secret-casting")
	harness.Eventually(t, patience, "the intent is planned on all workers", func() bool {
		return run(cluster.Daemons[1], "plan", "-f", document, "--out", plan).code == 0 &&
			run(cluster.Daemons[2], "confirm", plan).code == 0
	})
	if got := run(cluster.Daemons[0], "status", "--wait", "--for", patience.String(), "secret-casting"); got.code != 0 {
		t.Errorf("code %d\n%s", got.code, got.stderr)
	}
	b.assertRuns(cluster.Daemons, 3, "status")
	cluster.AssertNoBreach()
}
