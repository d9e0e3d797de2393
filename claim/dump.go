package claim

// Dump is the state of a Claimer for operators.
type Dump struct {
	// Writes lists the partitions that this instance writes.
	Writes []int `json:"writes"`
	// Queued counts the records that wait for a store write.
	Queued int `json:"queued"`
	// Working counts the orders being claimed or sent, Kept the results kept for repeats.
	Working   int  `json:"working"`
	Kept      int  `json:"kept"`
	KeptBytes int  `json:"kept_bytes"`
	Stopping  bool `json:"stopping,omitempty"`
}

// Dump returns the state at this moment.
func (c *Claimer) Dump() Dump {
	var d Dump
	for i, p := range c.committer.partitions {
		if c.writer(i) == c.opts.View.Self() {
			d.Writes = append(d.Writes, i)
		}
		d.Queued += p.queued()
	}
	d.Working, d.Kept, d.KeptBytes = c.attempts.counts()
	c.mu.Lock()
	d.Stopping = c.stopping
	c.mu.Unlock()
	return d
}
