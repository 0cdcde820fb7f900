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
	// tailLines is the number of log lines of each process, and of breaches, shown when a test
	// fails.
	tailLines = 30
	// announceTimeout is the limit for a stand-in to start and announce its addresses.
	announceTimeout = 20 * time.Second
	pollInterval    = 20 * time.Millisecond
)

// A Process is one process of a test. It is killed when the test ends.
type Process struct {
	Name    string
	t       testing.TB
	program string
	args    []string
	log     string

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when the command has ended, with the result in err.
	exited chan struct{}
	err    error
}

// StartProcess starts a program that is killed at the end of the test. Its output goes to a log
// file in a directory.
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

// Start starts the process, or restarts it after it has ended.
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

// Kill kills the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done()
}

// Pause suspends the process until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown with SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Wait waits until the process has ended and returns the error of the process, which is nil for
// exit code 0. It fails if the process doesn't end within a limit.
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

// Log returns the output of the process so far.
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

// signal sends a signal to the process unless it has ended.
func (p *Process) signal(signal syscall.Signal) {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	// Signal fails once the process has been waited for, so it never reaches another process that
	// reuses the ID.
	_ = command.Process.Signal(signal)
}

// finish kills the process and prints the last lines of its log if the test has failed.
func (p *Process) finish() {
	p.Kill()
	if !p.t.Failed() {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(p.Log())), "\n")
	lines = lines[max(0, len(lines)-tailLines):]
	p.t.Logf("last log lines of %s:\n%s", p.Name, strings.Join(lines, "\n"))
}

// listeners waits for the announcement of a stand-in and returns the announced services.
func (p *Process) listeners() []controller.Listener {
	p.t.Helper()
	var announcement controller.Announcement
	Eventually(p.t, announceTimeout, p.Name+" listens", func() bool {
		line, _, complete := bytes.Cut(p.Log(), []byte("\n"))
		return complete && json.Unmarshal(line, &announcement) == nil
	})
	return announcement.Listeners
}

// Eventually waits until a condition holds, and fails the test if it doesn't within a limit.
func Eventually(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		if condition() {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", limit, what)
		}
	}
}
