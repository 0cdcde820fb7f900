package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const examples = "../../../examples"

// TestOptions checks that invalid command lines are rejected with a message that names what is
// accepted, before anything is started.
func TestOptions(t *testing.T) {
	for _, test := range []struct {
		args string
		code int
		want string
	}{
		{"", exitUsage, "accepted: --settings FILE, or --embedded DIRECTORY"},
		{"--unknown", exitUsage, "unknown flag"},
		{"now", exitUsage, `unexpected argument "now"`},
		{"--settings a.yaml --embedded b", exitUsage, "accepted: one of them"},
		{"--embedded b --duration 0s", exitUsage, "--duration: 0s is out of range"},
		{"--embedded b --duration 5", exitUsage, "missing unit"},
		{"--settings absent.yaml", exitSettings, "open absent.yaml: no such file"},
		{"--settings " + examples + "/peachtree/declarations.yaml", exitSettings, "declarations.yaml:2: regions: unknown key"},
		{"--embedded absent", exitFailed, "absent holds no daemons/*.yaml"},
		{"--help", exitOK, "Exit codes:"},
		{"--version", exitOK, "kumquatd "},
	} {
		t.Run(test.args, func(t *testing.T) { assertMain(t, test.code, test.want, strings.Fields(test.args)...) })
	}
}

// TestEmbedded runs both users' examples and checks that every urgent request is answered and that
// the stand-ins record no breach.
func TestEmbedded(t *testing.T) {
	for user, address := range map[string]string{"peachtree": "127.33.0.1", "sundarban": "127.33.0.2"} {
		t.Run(user, func(t *testing.T) {
			directory := copyExample(t, filepath.Join(examples, user), address)
			assertMain(t, exitOK, "no breach", "--embedded", directory, "--duration", "3s")
		})
	}
}

func assertMain(t *testing.T, code int, want string, args ...string) {
	t.Helper()
	var output bytes.Buffer
	if got := Main(args, &output, &output); got != code || !strings.Contains(output.String(), want) {
		t.Errorf("code %d, want %d and %q in\n%s", got, code, want, output.String())
	}
}

// copyExample copies an example with another IP address, so that its listeners don't collide with
// those of an example that runs at the same time.
func copyExample(t *testing.T, source, address string) (directory string) {
	t.Helper()
	directory = t.TempDir()
	if err := os.CopyFS(directory, os.DirFS(source)); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(directory, "daemons", "*.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		content, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		moved := bytes.ReplaceAll(content, []byte("127.0.0.1"), []byte(address))
		if err := os.WriteFile(name, moved, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return directory
}
