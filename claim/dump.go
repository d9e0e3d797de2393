package claim

// Dump is the state of a Claimer for the operators' state dump.
type Dump struct {
	// Writes lists the partitions of which this instance is the writer.
	Writes []int `json:"writes"`
	// Queued is the number of records that wait for a store write.
	Queued int `json:"queued"`
	// Working is the number of orders that are being claimed or sent.
	Working int `json:"working"`
	// Kept is the number of retained attempts, which hold the results for duplicate requests, and KeptBytes their
	// estimated size.
	Kept      int  `json:"kept"`
	KeptBytes int  `json:"kept_bytes"`
	Stopping  bool `json:"stopping,omitempty"`
}

// Dump returns the current state.
func (c *Claimer) Dump() Dump {
	var d Dump
	for i, p := range c.committer.partitions {
		if c.writer(i) == c.opts.View.Self() {
			d.Writes = append(d.Writes, i)
		}
		d.Queued += p.queueLength()
	}
	d.Working, d.Kept, d.KeptBytes = c.attempts.counts()
	c.mu.Lock()
	d.Stopping = c.stopping
	c.mu.Unlock()
	return d
}
