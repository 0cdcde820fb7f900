package operating

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/cli"
	"github.com/kumquatstack/kumquatstack/internal/connection/securer"
	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// TestEncrypted runs an intent and carries requests through daemons that accept
// only each other's certificates and the operators'.
func TestEncrypted(t *testing.T) {
	directory := t.TempDir()
	authority, err := securer.NewTestAuthority(directory, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	files, err := authority.Issue("operator", securer.RoleAdminister, time.Now())
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
	for _, daemon := range cluster.Daemons {
		assertAnswers(t, daemon, files.Authority)
	}
	b.assertRuns(cluster.Daemons, 3, "status")
	cluster.AssertNoBreach()
}

// assertAnswers sends a request to a daemon that shows a certificate.
func assertAnswers(t *testing.T, daemon *harness.Daemon, authority string) {
	t.Helper()
	signers, err := os.ReadFile(authority)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(signers)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}}
	defer client.CloseIdleConnections()
	harness.Eventually(t, patience, "a request is answered", func() bool {
		req, err := http.NewRequest(http.MethodPost, "https://"+daemon.Callers+harness.PathIdempotent, strings.NewReader("print"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Kumquat-Deadline-Millis", "2000")
		answer, err := client.Do(req)
		if err != nil {
			t.Log(err)
			return false
		}
		defer answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
}
