package securer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// A journal stores the fields of recorded events.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (j *journal) Record(_ time.Time, _ recorder.Number, fields recorder.Fields) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for key, value := range fields {
		j.lines = append(j.lines, key+"="+value)
	}
}

func newAuthority(t *testing.T) *TestAuthority {
	t.Helper()
	authority, err := NewTestAuthority(t.TempDir(), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func issue(t *testing.T, authority *TestAuthority, name string, role Role) *Securer {
	t.Helper()
	files, err := authority.Issue(name, role, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(files, recorder.Discard{}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// serve starts a server that responds to every allowed call with "ok", and returns
// its address.
func serve(t *testing.T, s *Securer, tokens Tokens, record recorder.Recorder) string {
	t.Helper()
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	server := httptest.NewUnstartedServer(Guard(ok, tokens, record))
	server.TLS = s.OperatorConfig()
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func call(s *Securer, address, path, token string) (status int, err error) {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	client := &http.Client{Transport: &http.Transport{DialTLSContext: s.Dial(dial, RoleDaemon), DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "https://"+address+path, nil)
	if err != nil {
		return 0, err
	}
	if token != "" {
		req.Header.Set("Authorization", bearer+token)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

func assertStatus(t *testing.T, s *Securer, address, path, token string, want int) {
	t.Helper()
	got, err := call(s, address, path, token)
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("%s answered %d, want %d", path, got, want)
	}
}

const (
	operatorPath = "/twirp/kumquat.v1.Operator/"
	peerPath     = "/twirp/kumquat.v1.Peer/"
	secret       = "correct horse"
)

func TestGuard(t *testing.T) {
	authority := newAuthority(t)
	daemon := issue(t, authority, "atl-a-1", RoleDaemon)
	tokens := newTokens(t)
	record := &journal{}
	address := serve(t, daemon, tokens, record)
	viewer := issue(t, authority, "viewer", RoleView)
	confirmer := issue(t, authority, "confirmer", RoleConfirm)
	cases := []struct {
		name   string
		caller *Securer
		path   string
		token  string
		want   int
	}{
		{"a viewer reads", viewer, operatorPath + "Status", "", http.StatusOK},
		{"a viewer doesn't confirm", viewer, operatorPath + "Confirm", "", http.StatusForbidden},
		{"a confirmer confirms", confirmer, operatorPath + "Confirm", "", http.StatusOK},
		{"a confirmer doesn't administer", confirmer, operatorPath + "Apply", "", http.StatusForbidden},
		{"a confirmer doesn't release", confirmer, operatorPath + "Release", "", http.StatusForbidden},
		{"a token administers", viewer, operatorPath + "SetDataCentre", secret, http.StatusOK},
		{"a wrong token doesn't", viewer, operatorPath + "SetDataCentre", secret + "!", http.StatusForbidden},
		{"an unknown call needs the largest role", confirmer, operatorPath + "Erase", "", http.StatusForbidden},
		{"an operator is no peer", confirmer, peerPath + "Pledge", secret, http.StatusForbidden},
		{"a daemon is a peer", daemon, peerPath + "Pledge", "", http.StatusOK},
		{"a daemon is no operator", daemon, operatorPath + "Apply", "", http.StatusForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assertStatus(t, c.caller, address, c.path, c.token, c.want) })
	}
	t.Run("secrets are not recorded", func(t *testing.T) {
		if strings.Contains(strings.Join(record.lines, " "), secret) {
			t.Error("a token was recorded")
		}
	})
}

func newTokens(t *testing.T) Tokens {
	t.Helper()
	digest := sha256.Sum256([]byte(secret))
	name := filepath.Join(t.TempDir(), "tokens")
	content := "# operators\nadminister " + hex.EncodeToString(digest[:]) + "\n"
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	tokens, err := LoadTokens(name)
	if err != nil {
		t.Fatal(err)
	}
	return tokens
}

func TestDial(t *testing.T) {
	authority := newAuthority(t)
	operator := issue(t, authority, "viewer", RoleView)
	t.Run("a server that is no daemon is refused", func(t *testing.T) {
		address := serve(t, issue(t, authority, "false", RoleAdminister), Tokens{}, recorder.Discard{})
		assertRefused(t, operator, address)
	})
	t.Run("a server of another authority is refused", func(t *testing.T) {
		address := serve(t, issue(t, newAuthority(t), "atl-a-1", RoleDaemon), Tokens{}, recorder.Discard{})
		assertRefused(t, operator, address)
	})
	t.Run("a certificate is replaced without a restart", func(t *testing.T) {
		daemon := issue(t, authority, "atl-a-2", RoleDaemon)
		later := time.Now().Add(time.Minute)
		before := daemon.credentials(later).certificate.Leaf.SerialNumber
		files, err := authority.Issue("atl-a-2", RoleDaemon, later)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(files.Certificate, later, later); err != nil {
			t.Fatal(err)
		}
		after := daemon.credentials(later.Add(checkInterval)).certificate.Leaf.SerialNumber
		if before.Cmp(after) == 0 {
			t.Error("the previous certificate is still in use")
		}
	})
}

func assertRefused(t *testing.T, s *Securer, address string) {
	t.Helper()
	if status, err := call(s, address, operatorPath+"Status", ""); err == nil {
		t.Errorf("answered %d, want a refused connection", status)
	}
}
