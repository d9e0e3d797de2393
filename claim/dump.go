package claim

// Dump is the state of a Claimer for operators.
type Dump struct {
	// WriterPartitions lists the partitions that this instance writes.
	WriterPartitions []int `json:"writes"`
	// Queued counts the records that wait for a store write.
	Queued int `json:"queued"`
	// InProgress counts the orders being claimed or sent, Kept the results kept for repeats.
	InProgress    int  `json:"working"`
	Retained      int  `json:"kept"`
	RetainedBytes int  `json:"kept_bytes"`
	Stopping      bool `json:"stopping,omitempty"`
}

// Dump returns the state at this moment.
func (c *Claimer) Dump() Dump {
	var d Dump
	for i, p := range c.committer.partitions {
		if c.writer(i) == c.opts.View.Self() {
			d.WriterPartitions = append(d.WriterPartitions, i)
		}
		d.Queued += p.queued()
	}
	d.InProgress, d.Retained, d.RetainedBytes = c.attempts.counts()
	c.mu.Lock()
	d.Stopping = c.stopping
	c.mu.Unlock()
	return d
}
