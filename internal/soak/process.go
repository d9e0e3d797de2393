package soak

import (
	"time"

	"rhubarbpoint/internal/fleet"
)

// exitTime is how long a process may take to end.
const exitTime = 10 * time.Second

// alone runs a fault of the process while no other one is at work on it.
func (i *instance) alone(run func(*instance)) {
	i.process.Lock()
	defer i.process.Unlock()
	run(i)
}

// pauseFor stops the process from running for a time.
func (i *instance) pauseFor(length time.Duration) {
	i.alone(func(i *instance) {
		i.pausedUntil(time.Now().Add(length))
		i.node.Pause()
		time.Sleep(length)
		i.node.Resume()
	})
}

// current identifies the process.
func (i *instance) current() *fleet.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.node.Process
}

// restart ends the process and starts it again after a time.
func (i *instance) restart(end func(*instance), after time.Duration) {
	i.alone(func(i *instance) {
		end(i)
		time.Sleep(after)
		fresh := *i.node
		if err := i.site.fleet.StartEntry(&fresh); err != nil {
			i.site.ledger.violation("soak: %s does not start: %v", i.node.ID, err)
			return
		}
		i.mu.Lock()
		i.node.Process = fresh.Process
		i.mu.Unlock()
		// A signal before the program has set up its handlers ends it at once, which says nothing about its stop.
		if err := i.site.fleet.WaitListening(&fresh); err != nil {
			i.site.ledger.violation("soak: %s does not listen: %v", i.node.ID, err)
		}
	})
}

// stopInOrder asks the process to end and checks that it cuts nothing off.
func (i *instance) stopInOrder() {
	i.setInOrder(true)
	defer i.setInOrder(false)
	i.node.Terminate()
	if err := i.node.WaitExit(exitTime); err != nil {
		i.site.ledger.violation("drain: %s stopped with %v", i.node.ID, err)
		i.node.Kill()
	}
}
