package operating

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/kumquatstack/kumquatstack/internal/cli"
	"github.com/kumquatstack/kumquatstack/internal/connection/securer"
	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// TestEncrypted checks that an intent and requests work on daemons that use TLS and
// accept only certificates of daemons and operators, within the limits of their roles.
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
	digest := sha256.Sum256([]byte("secret"))
	tokens := filepath.Join(directory, "tokens")
	if err := os.WriteFile(tokens, fmt.Appendf(nil, "confirm %x", digest), 0o600); err != nil {
		t.Fatal(err)
	}
	cluster := harness.Start(t, harness.Options{Sites: sites, Authority: authority, Tokens: tokens, SkipReadiness: true})
	f := &fixture{Cluster: cluster, t: t, directory: directory}
	declarations := f.write("declarations.yaml", harness.DeclarationsOf(sites))
	run := func(daemon *harness.Daemon, args ...string) result {
		return runWithTLS(daemon, append(certificateOptions(files), args...)...)
	}
	harness.Eventually(t, patience, "declarations are accepted", func() bool {
		return run(cluster.Daemons[0], "apply", "-f", declarations).code == 0
	})
	cluster.AwaitReady(cluster.Daemons...)

	document, plan := f.intent("secret-casting")
	harness.Eventually(t, patience, "the intent is planned on all workers", func() bool {
		return run(cluster.Daemons[1], "plan", "-f", document, "--out", plan).code == 0 &&
			run(cluster.Daemons[2], "confirm", plan).code == 0
	})
	if got := run(cluster.Daemons[0], "status", "--wait", "--for", patience.String(), "secret-casting"); got.code != 0 {
		t.Errorf("kumquat status: code %d, want 0\n%s", got.code, got.stderr)
	}
	for _, daemon := range cluster.Daemons {
		assertAnswers(t, daemon, files.Authority)
	}
	f.assertRuns(cluster.Daemons, 3, "status")
	f.assertRoles(authority, files)
	cluster.AssertNoBreach()
}

// runWithTLS runs the tool with TLS against one daemon.
func runWithTLS(daemon *harness.Daemon, args ...string) result {
	var stdout, stderr bytes.Buffer
	all := append([]string{"--timeout", "5s", "--address", daemon.Operators}, args...)
	return result{cli.Main(all, strings.NewReader(""), &stdout, &stderr), stdout.String(), stderr.String()}
}

// certificateOptions returns the tool's options for a client certificate.
func certificateOptions(files securer.Files) []string {
	return []string{"--tls-certificate", files.Certificate, "--tls-key", files.Key, "--tls-authority", files.Authority}
}

// assertRoles fails the test unless every daemon itself refuses what the role of a
// certificate or token doesn't allow, and calls of operators to the peers' address.
func (f *fixture) assertRoles(authority *securer.TestAuthority, operator securer.Files) {
	f.t.Helper()
	issue := func(name string, role securer.Role) []string {
		files, err := authority.Issue(name, role, time.Now())
		if err != nil {
			f.t.Fatal(err)
		}
		return certificateOptions(files)
	}
	token := func(secret string) []string {
		return []string{"--tls-authority", operator.Authority, "--token-file", f.write("token-"+secret, secret)}
	}
	viewer, peer := issue("viewer", securer.RoleView), issue("peer", securer.RoleDaemon)
	confirmer, unknown := token("secret"), token("guess")
	status, cancel, takeOut := []string{"status"}, []string{"cancel", "secret-casting"}, []string{"datacentre", "out", "atl-a"}
	for _, test := range []struct {
		name              string
		credentials, args []string
		want              int
	}{
		{"viewer asks for the status", viewer, status, 0},
		{"viewer cancels an intent", viewer, cancel, 1},
		{"confirmer cancels an intent", confirmer, cancel, 0},
		{"confirmer takes a data centre out", confirmer, takeOut, 1},
		{"unknown token", unknown, status, 1},
		{"viewer with unknown token", append(unknown, viewer...), cancel, 1},
		{"daemon as operator", peer, status, 1},
	} {
		for _, daemon := range f.Daemons {
			got := runWithTLS(daemon, append(test.credentials, test.args...)...)
			if got.code != test.want {
				f.t.Errorf("%s at %s: code %d, want %d\n%s", test.name, daemon.Name, got.code, test.want, got.stderr)
			}
		}
	}
	for _, daemon := range f.Daemons {
		f.assertRefusedAsPeer(daemon, operator)
	}
}

// assertRefusedAsPeer fails the test unless a daemon refuses an operator's call to the
// peers' address.
func (f *fixture) assertRefusedAsPeer(daemon *harness.Daemon, operator securer.Files) {
	f.t.Helper()
	certificate, err := tls.LoadX509KeyPair(operator.Certificate, operator.Key)
	if err != nil {
		f.t.Fatal(err)
	}
	client := clientOf(f.t, operator.Authority, certificate)
	defer client.CloseIdleConnections()
	_, err = kumquatv1.NewPeerProtobufClient("https://"+daemon.Peers, client).
		CancelTasks(f.t.Context(), &kumquatv1.CancelTasksRequest{Shard: "shard:atl-a", Intent: "secret-casting"})
	var answer twirp.Error
	if !errors.As(err, &answer) || answer.Code() != twirp.PermissionDenied {
		f.t.Errorf("%s doesn't refuse an operator as a peer: %v", daemon.Name, err)
	}
}

// clientOf returns a client that trusts an authority and presents certificates.
func clientOf(t *testing.T, authority string, certificates ...tls.Certificate) *http.Client {
	t.Helper()
	signers, err := os.ReadFile(authority)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(signers)
	config := &tls.Config{RootCAs: roots, Certificates: certificates, MinVersion: tls.VersionTLS13}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
}

// assertAnswers fails the test unless a daemon with TLS answers a request.
func assertAnswers(t *testing.T, daemon *harness.Daemon, authority string) {
	t.Helper()
	client := clientOf(t, authority)
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
