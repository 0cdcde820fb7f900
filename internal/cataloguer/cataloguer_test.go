package cataloguer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const root = "../.."

// Bounds of the numbers of events.
const (
	lowestNumber  = 1000
	highestNumber = 6999
)

func TestGeneratedFilesAreCurrent(t *testing.T) {
	files, err := Files(root)
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range files {
		t.Run(path, func(t *testing.T) { assertSameLines(t, path, want) })
	}
}

func TestEvents(t *testing.T) {
	events, err := Events(root)
	if err != nil {
		t.Fatal(err)
	}
	numbers, names := map[int]string{}, map[string]bool{}
	for _, event := range events {
		t.Run(event.EventName(), func(t *testing.T) {
			if first, repeated := numbers[event.Number()]; repeated {
				t.Errorf("number %d is already used by %s", event.Number(), first)
			}
			if names[event.EventName()] {
				t.Error("the name is used twice")
			}
			if event.Number() < lowestNumber || event.Number() > highestNumber {
				t.Errorf("number %d is out of bounds", event.Number())
			}
			if !strings.HasPrefix(event.Constant, "Event") {
				t.Errorf("constant %s doesn't begin with Event", event.Constant)
			}
		})
		numbers[event.Number()] = event.EventName()
		names[event.EventName()] = true
	}
}

// assertSameLines compares a file with the content generated from the code, and
// reports the lines that only one of them has.
func assertSameLines(t *testing.T, path, want string) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, path))
	if err != nil {
		t.Fatal(err)
	}
	got := string(content)
	if got == want {
		return
	}
	for _, line := range strings.Split(want, "\n") {
		if !strings.Contains(got, line) {
			t.Errorf("missing line: %s", line)
		}
	}
	for _, line := range strings.Split(got, "\n") {
		if !strings.Contains(want, line) {
			t.Errorf("line that is not generated from the code: %s", line)
		}
	}
	t.Error("run make generate")
}
