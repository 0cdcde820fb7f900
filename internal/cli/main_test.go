package cli

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatstack/kumquatstack/internal/process/settings"
	"github.com/kumquatstack/kumquatstack/internal/standin/certifier"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"kumquat": func() { os.Exit(Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts in testdata, each against a fake daemon of its
// own at $KUMQUAT_ADDRESS; nothing listens at $NOBODY.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: startFake,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": exits,
			"fault": fault,
		},
	})
}

type fakeKey struct{}

func startFake(env *testscript.Env) error {
	fake := newFakeOperator()
	server := httptest.NewServer(fake.handler())
	env.Defer(server.Close)
	env.Values[fakeKey{}] = fake
	env.Setenv("KUMQUAT_ADDRESS", server.Listener.Addr().String())
	env.Setenv("KUMQUAT_PLAINTEXT", "true")

	if err := startTLS(env, fake); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	env.Setenv("NOBODY", listener.Addr().String())
	return listener.Close()
}

// startTLS serves the fake daemon at $TLS_ADDRESS to operators with the
// certificate in operator.pem.
func startTLS(env *testscript.Env, fake *fakeOperator) error {
	authority, err := certifier.New(env.WorkDir, time.Now())
	if err != nil {
		return err
	}
	daemon, err := authority.Issue("daemon")
	if err != nil {
		return err
	}
	if _, err := authority.Issue("operator"); err != nil {
		return err
	}
	set := &settings.Settings{TLS: settings.TLS(daemon)}
	server := httptest.NewUnstartedServer(fake.handler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	if server.TLS, err = set.PeerTLS(); err != nil {
		return err
	}
	server.StartTLS()
	env.Defer(server.Close)
	env.Setenv("TLS_ADDRESS", server.Listener.Addr().String())
	return nil
}

// fault METHOD KIND sets what happens at the next call of a method.
func fault(ts *testscript.TestScript, _ bool, args []string) {
	fake := ts.Value(fakeKey{}).(*fakeOperator)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.faults[args[0]] = args[1]
}

// exits CODE COMMAND... runs a command and compares its exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	if err != nil {
		var failed *exec.ExitError
		if !errors.As(err, &failed) {
			ts.Fatalf("%v", err)
		}
		got = failed.ExitCode()
	}
	if got != want {
		ts.Fatalf("%v exits with code %d, want %d", args[1:], got, want)
	}
}
