package settings

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/standin/certifier"
)

func issue(t *testing.T, directory, name string) *Settings {
	t.Helper()
	authority, err := certifier.New(directory, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	files, err := authority.Issue(name)
	if err != nil {
		t.Fatal(err)
	}
	return &Settings{TLS: TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}}
}

func TestPeerTLS(t *testing.T) {
	ours := issue(t, t.TempDir(), "atl-a-1")
	strange := issue(t, t.TempDir(), "stranger")
	config, err := ours.PeerTLS()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.TLS = config
	server.StartTLS()
	defer server.Close()

	t.Run("a peer is accepted", func(t *testing.T) { assertReaches(t, server.URL, ours, true) })
	t.Run("a certificate of another authority is refused", func(t *testing.T) {
		mixed := &Settings{TLS: strange.TLS}
		mixed.TLS.Authority = ours.TLS.Authority
		assertReaches(t, server.URL, mixed, false)
	})
	t.Run("a server of another authority is refused", func(t *testing.T) { assertReaches(t, server.URL, strange, false) })
	t.Run("plaintext has no configuration", func(t *testing.T) {
		config, err := (&Settings{Plaintext: true}).PeerTLS()
		if config != nil || err != nil {
			t.Errorf("got %v, %v", config, err)
		}
	})
	t.Run("unreadable files", func(t *testing.T) {
		broken := &Settings{TLS: TLS{Certificate: ours.TLS.Key, Key: ours.TLS.Key, Authority: ours.TLS.Authority}}
		if config, err := broken.PeerTLS(); err == nil {
			t.Errorf("got %v and no error", config)
		}
	})
}

func assertReaches(t *testing.T, url string, client *Settings, want bool) {
	t.Helper()
	config, err := client.PeerTLS()
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{
		Certificates: config.Certificates, RootCAs: config.RootCAs, MinVersion: config.MinVersion,
	}}
	defer transport.CloseIdleConnections()
	answer, err := (&http.Client{Transport: transport}).Get(url)
	if err == nil {
		answer.Body.Close()
	}
	if got := err == nil; got != want {
		t.Errorf("reached %t (%v), want %t", got, err, want)
	}
}
