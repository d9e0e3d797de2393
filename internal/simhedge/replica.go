package simhedge

import (
	"time"
)

// playReplica is a replica with slots and a queue.
type playReplica struct {
	slow    []bool // by period
	running int
	queue   []*playAttempt
}

func (p *play) factor(replica int, at time.Duration) float64 {
	if p.replicas[replica].slow[at/slowPeriod] {
		return slowTimes
	}
	return 1
}
