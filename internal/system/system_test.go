package system

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

func TestRealSystem(t *testing.T) {
	name := filepath.Join(t.TempDir(), "plan.json")
	var out bytes.Buffer
	sys := NewRealSystem(strings.NewReader("typed"), &out, &out)

	t.Run("file", func(t *testing.T) {
		assertNoError(t, sys.WriteFile(name, []byte("one")))
		assertNoError(t, sys.WriteFile(name, []byte("two")))
		assertContent(t, sys, name, "two")
	})
	t.Run("no temporary file is left", func(t *testing.T) {
		entries, _ := os.ReadDir(filepath.Dir(name))
		if len(entries) != 1 {
			t.Errorf("got %d files, want 1", len(entries))
		}
	})
	t.Run("standard input", func(t *testing.T) { assertContent(t, sys, Stream, "typed") })
	t.Run("missing directory", func(t *testing.T) {
		if sys.WriteFile(filepath.Join(name, "x"), nil) == nil {
			t.Error("got no error")
		}
	})
}

func TestDryRunSystem(t *testing.T) {
	name := filepath.Join(t.TempDir(), "plan.json")
	var out bytes.Buffer
	sys := NewDryRunSystem(NewRealSystem(nil, &out, &out))
	assertNoError(t, sys.WriteFile(name, []byte("one")))
	if _, err := os.Stat(name); !os.IsNotExist(err) {
		t.Errorf("the file was written: %v", err)
	}
	if !strings.Contains(out.String(), "would write 3 bytes") {
		t.Errorf("got output %q", out.String())
	}
}

func TestLoggingSystem(t *testing.T) {
	handler := memory.New()
	logger := &log.Logger{Handler: handler, Level: log.DebugLevel}
	sys := NewLoggingSystem(NewRealSystem(nil, nil, nil), logger)
	_, _ = sys.ReadFile(filepath.Join(t.TempDir(), "missing"))
	if len(handler.Entries) != 1 || handler.Entries[0].Fields["error"] == nil {
		t.Errorf("got entries %v", handler.Entries)
	}
}

func assertNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func assertContent(t *testing.T, sys System, name, want string) {
	t.Helper()
	got, err := sys.ReadFile(name)
	assertNoError(t, err)
	if string(got) != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
