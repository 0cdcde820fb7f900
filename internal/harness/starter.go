package harness

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// A starter starts processes from one thread that lives as long as the test process, because the
// kernel kills a child with a parent-death signal when the thread that started it ends.
type starter struct {
	once     sync.Once
	commands chan startRequest
}

// A startRequest asks the starter's thread to start a command.
type startRequest struct {
	command *exec.Cmd
	// started receives the result of the start.
	started chan error
}

var processes starter

// start starts a command that the kernel kills when the test process ends.
func (s *starter) start(command *exec.Cmd) error {
	s.once.Do(func() {
		s.commands = make(chan startRequest)
		go s.run()
	})
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	request := startRequest{command: command, started: make(chan error, 1)}
	s.commands <- request
	return <-request.started
}

func (s *starter) run() {
	runtime.LockOSThread()
	for request := range s.commands {
		request.started <- request.command.Start()
	}
}
