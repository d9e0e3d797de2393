package soak

import (
	"time"

	"rhubarbpoint/internal/fleet"
)

// exitTime is the time within which a process must end.
const exitTime = 10 * time.Second

// withProcess runs a fault that acts on the process while no other fault does.
func (i *instance) withProcess(run func(*instance)) {
	i.processMu.Lock()
	defer i.processMu.Unlock()
	run(i)
}

// pauseFor suspends the process for a time.
func (i *instance) pauseFor(length time.Duration) {
	i.withProcess(func(i *instance) {
		i.recordPause(time.Now().Add(length))
		i.node.Pause()
		time.Sleep(length)
		i.node.Resume()
	})
}

// currentProcess returns the process that runs now, or ran last.
func (i *instance) currentProcess() *fleet.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.node.Process
}

// restart ends the process with the given function and starts it again after a time.
func (i *instance) restart(end func(*instance), after time.Duration) {
	i.withProcess(func(i *instance) {
		defer i.disturb()()
		end(i)
		time.Sleep(after)
		restarted := *i.node
		i.cluster.startMu.Lock()
		err := i.cluster.fleet.StartEntry(&restarted)
		i.cluster.startMu.Unlock()
		if err != nil {
			i.cluster.recorder.recordViolation("soak: %s does not start: %v", i.node.ID, err)
			return
		}
		i.mu.Lock()
		i.node.Process = restarted.Process
		i.mu.Unlock()
		// A signal that arrives before the program has set up its signal handlers ends it at once, which is not a fault
		// of its graceful stop. So no other fault may act on the process before it listens.
		if err := i.cluster.fleet.WaitListening(&restarted); err != nil {
			i.cluster.recorder.recordViolation("soak: %s does not listen: %v", i.node.ID, err)
		}
	})
}

// stopGracefully asks the process to stop and checks by its exit status that it cut off no request.
func (i *instance) stopGracefully() {
	i.setStopping(true)
	defer i.setStopping(false)
	i.node.Terminate()
	if err := i.node.WaitExit(exitTime); err != nil {
		i.cluster.recorder.recordViolation("drain: %s stopped with %v", i.node.ID, err)
		i.node.Kill()
	}
}
