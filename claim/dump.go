package claim

// Dump is the state of a Claimer for the operators' state dump.
type Dump struct {
	// WriterPartitions lists the partitions of which this instance is the writer.
	WriterPartitions []int `json:"writes"`
	// Queued is the number of records that wait for a store write.
	Queued int `json:"queued"`
	// InProgress is the number of orders that are being claimed or sent.
	InProgress int `json:"working"`
	// Retained is the number of retained attempts, which hold the results for duplicate requests, and RetainedBytes their
	// estimated size.
	Retained      int  `json:"kept"`
	RetainedBytes int  `json:"kept_bytes"`
	Stopping      bool `json:"stopping,omitempty"`
}

// Dump returns the current state.
func (c *Claimer) Dump() Dump {
	var d Dump
	for i, p := range c.committer.partitions {
		if c.writer(i) == c.opts.View.Self() {
			d.WriterPartitions = append(d.WriterPartitions, i)
		}
		d.Queued += p.queueLength()
	}
	d.InProgress, d.Retained, d.RetainedBytes = c.attempts.counts()
	c.mu.Lock()
	d.Stopping = c.stopping
	c.mu.Unlock()
	return d
}
