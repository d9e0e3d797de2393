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

// Process is one started program. It is safe for concurrent use.
type Process struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}

	mu  sync.Mutex
	err error
}

// startProcess runs a program with its output going to log.
func startProcess(name string, log io.Writer, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(path, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The kernel ends the program when the fleet's own process dies without stopping it.
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

// Signal sends a signal. A process that has ended gets none.
func (p *Process) Signal(sig os.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(sig)
	}
}

// Terminate asks for a graceful stop.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Kill ends the process at once.
func (p *Process) Kill() { p.Signal(syscall.SIGKILL) }

// Pause stops the process from running until Resume.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume lets a paused process run again.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Running says whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// WaitExit waits for the end of the process and returns its error, or an error when it has not ended in time.
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
