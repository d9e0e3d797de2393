package fleet

import (
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a program that was started. It is safe for concurrent use.
type Process struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}

	mu  sync.Mutex
	err error
}

// startProcess starts a program that writes its output to log. env is added to the environment.
func startProcess(name string, log io.Writer, env []string, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(path, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The kernel kills the program if the fleet's own process ends without stopping it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "fleet: start %s", name)
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal. It does nothing if the process has ended.
func (p *Process) Signal(sig os.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(sig)
	}
}

// Terminate requests a graceful stop.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Kill ends the process at once.
func (p *Process) Kill() { p.Signal(syscall.SIGKILL) }

// Pause stops the process from running until Resume.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume lets a paused process run again.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// WaitExit waits for the end of the process and returns its error, or an error if it does not end within the timeout.
func (p *Process) WaitExit(timeout time.Duration) error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(timeout):
		return errors.Newf("fleet: %s did not end within %s", p.Name, timeout)
	}
}
