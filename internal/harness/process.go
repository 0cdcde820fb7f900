package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/standin/controller"
)

const (
	// tailLines is the number of log lines shown of each process on failure.
	tailLines = 30
	// announceTimeout bounds the start of a stand-in.
	announceTimeout = 20 * time.Second
	pollInterval    = 20 * time.Millisecond
)

// A Process is one real process of a test. It is killed when the test ends.
type Process struct {
	Name    string
	t       testing.TB
	program string
	args    []string
	log     string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	err     error
}

// StartProcess starts a program and registers its end with the test.
func StartProcess(t testing.TB, directory, name, program string, args ...string) *Process {
	t.Helper()
	path, err := programs.path(program)
	if err != nil {
		t.Fatal(err)
	}
	process := &Process{Name: name, t: t, program: path, args: args, log: filepath.Join(directory, name+".log")}
	process.Start()
	t.Cleanup(process.finish)
	return process
}

// Start starts the process, again if it has ended.
func (p *Process) Start() {
	p.t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(p.program, p.args...)
	command.Stdout = log
	command.Stderr = log
	if err := processes.start(command); err != nil {
		p.t.Fatalf("start %s: %v", p.Name, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = command
	p.exited = exited
	go func() {
		err := command.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.err = err
		close(exited)
	}()
}

// Kill ends the process without notice.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done()
}

// Pause stops the process until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process for a planned stop.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Wait waits for the end of the process and returns its error, which is nil
// for exit code 0.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done():
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("%s has not ended after %s", p.Name, limit)
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done():
		return false
	default:
		return true
	}
}

// Log returns the output of the process.
func (p *Process) Log() []byte {
	content, err := os.ReadFile(p.log)
	if err != nil {
		return []byte(err.Error())
	}
	return content
}

func (p *Process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// signal sends a signal to the process by its id; an ended one gets none.
func (p *Process) signal(signal syscall.Signal) {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	// Process remembers that it was waited for, so that the id can't be reused.
	_ = command.Process.Signal(signal)
}

// finish kills the process and shows the end of its log if the test failed.
func (p *Process) finish() {
	p.Kill()
	if !p.t.Failed() {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(p.Log())), "\n")
	lines = lines[max(0, len(lines)-tailLines):]
	p.t.Logf("log of %s:\n%s", p.Name, strings.Join(lines, "\n"))
}

// listeners waits for the announcement of a stand-in.
func (p *Process) listeners() []controller.Listener {
	p.t.Helper()
	var announcement controller.Announcement
	Eventually(p.t, announceTimeout, p.Name+" listens", func() bool {
		line, _, complete := bytes.Cut(p.Log(), []byte("\n"))
		return complete && json.Unmarshal(line, &announcement) == nil
	})
	return announcement.Listeners
}

// Eventually fails the test if a condition doesn't hold within a limit.
func Eventually(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		if holds() {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}
