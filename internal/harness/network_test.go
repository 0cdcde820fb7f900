package harness

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

func TestNetwork(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("whole"))
	}))
	defer server.Close()
	network := NewNetwork(t)
	address := network.Link("a", "b", strings.TrimPrefix(server.URL, "http://"))
	get := func() (string, error) {
		client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + address)
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	assertReached := func(t *testing.T, want bool) {
		t.Helper()
		body, err := get()
		if (err == nil && body == "whole") != want {
			t.Fatalf("body %q, error %v; want a response: %t", body, err, want)
		}
	}
	t.Run("passes data without faults", func(t *testing.T) { assertReached(t, true) })
	network.Cut(Between("b", "a"))
	t.Run("drops data when cut", func(t *testing.T) { assertReached(t, false) })
	network.Heal(All)
	t.Run("passes data when healed", func(t *testing.T) { assertReached(t, true) })
	network.Delay(All, time.Second)
	t.Run("delays data", func(t *testing.T) { assertReached(t, false) })
	network.Heal(All)
}

func TestProcess(t *testing.T) {
	process := StartProcess(t, t.TempDir(), "store", ProgramKeyValue)
	address := process.listeners()[0].Address
	responds := func() bool {
		client := &http.Client{Timeout: 200 * time.Millisecond}
		defer client.CloseIdleConnections()
		response, err := client.Get("http://" + address + "/standin/counts")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	Eventually(t, 10*time.Second, "a response", responds)
	t.Run("gives no response while paused", func(t *testing.T) {
		process.Pause()
		Eventually(t, 10*time.Second, "no response", func() bool { return !responds() })
		process.Resume()
		Eventually(t, 10*time.Second, "a response", responds)
	})
	t.Run("exits with code 0 on termination", func(t *testing.T) {
		process.Terminate()
		if err := process.Wait(10 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("can be started again and killed", func(t *testing.T) {
		process.Start()
		process.Kill()
		if process.Running() {
			t.Fatal("still running after kill")
		}
	})
}

func TestMain(m *testing.M) { os.Exit(Main(m)) }
