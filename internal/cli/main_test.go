package cli

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"log"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatstack/kumquatstack/internal/connection/securer"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
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
			"exits":  exits,
			"fault":  fault,
			"faulty": faulty,
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
// certificate in operator.pem, the one in viewer.pem, or the token "secret".
func startTLS(env *testscript.Env, fake *fakeOperator) error {
	now := time.Now()
	authority, err := securer.NewTestAuthority(env.WorkDir, now)
	if err != nil {
		return err
	}
	roles := map[string]securer.Role{"operator": securer.RoleAdminister, "viewer": securer.RoleView}
	for name, role := range roles {
		if _, err := authority.Issue(name, role, now); err != nil {
			return err
		}
	}
	files, err := authority.Issue("daemon", securer.RoleDaemon, now)
	if err != nil {
		return err
	}
	daemon, err := securer.New(files, recorder.Discard{}, now)
	if err != nil {
		return err
	}
	digest := sha256.Sum256([]byte("secret"))
	list := filepath.Join(env.WorkDir, "tokens")
	if err := os.WriteFile(list, []byte("confirm "+hex.EncodeToString(digest[:])), 0o600); err != nil {
		return err
	}
	tokens, err := securer.LoadTokens(list)
	if err != nil {
		return err
	}
	server := httptest.NewUnstartedServer(securer.Guard(fake.handler(), tokens, recorder.Discard{}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.TLS = daemon.OperatorConfig()
	server.StartTLS()
	env.Defer(server.Close)
	env.Setenv("TLS_ADDRESS", server.Listener.Addr().String())
	return nil
}

// fault METHOD KIND sets the fault of the next call of a method.
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

// faulty KIND OLD NEW WANT puts a fault into KIND.yaml. It checks that the file is
// refused as a whole, with an error that matches WANT and names a next step.
func faulty(ts *testscript.TestScript, _ bool, args []string) {
	kind, old, want := args[0], args[1], args[3]
	changed := strings.NewReplacer(`\n`, "\n", `\t`, "\t").Replace(args[2])
	document := ts.ReadFile(kind + ".yaml")
	if !strings.Contains(document, old) {
		ts.Fatalf("%s.yaml doesn't hold %q", kind, old)
	}
	edited := []byte(strings.Replace(document, old, changed, 1))
	ts.Check(os.WriteFile(ts.MkAbs("faulty.yaml"), edited, 0o600))
	exits(ts, false, []string{"2", "kumquat", "check", "--" + kind, "faulty.yaml"})
	got := ts.ReadFile("stderr")
	if !regexp.MustCompile(want).MatchString(got) || !strings.Contains(got, "next: ") {
		ts.Fatalf("%q doesn't match %q with a next step", got, want)
	}
	if kind != "declarations" {
		return
	}
	exits(ts, false, []string{"2", "kumquat", "apply", "-f", "faulty.yaml"})
	fake := ts.Value(fakeKey{}).(*fakeOperator)
	if fake.document != "" {
		ts.Fatalf("a part of %q was applied", edited)
	}
}
