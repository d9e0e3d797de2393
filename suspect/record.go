package suspect

import "time"

// record holds what is known of one suspect. Each instance counts the crashes that it has seen itself, so that records
// can be merged in any order: the sum over the instances is the number of crashes.
type record struct {
	origins map[string]origin // by instance
	// cleared is the time up to which crashes no longer count; at is the latest time of any entry. Both are in Unix
	// milliseconds.
	cleared int64
	at      int64
}

// origin is one instance's entry in a record.
type origin struct {
	seq     uint64
	crashes uint32
	at      int64  // Unix milliseconds
	engine  string // on which that instance runs the suspect, or empty
}

// crashes returns the number of crashes since the suspect was last cleared.
func (r *record) crashes() int {
	sum := 0
	for _, o := range r.origins {
		if o.at > r.cleared {
			sum += int(o.crashes)
		}
	}
	return sum
}

// nextTimestamp returns a time later than every entry of the record, so that the order of entries does not depend on
// the instances' clocks.
func (r *record) nextTimestamp(now time.Time) int64 {
	r.at = max(r.at+1, now.UnixMilli())
	return r.at
}

func (r *record) expired(now time.Time) bool {
	return now.UnixMilli() >= r.at+suspicionTTL.Milliseconds()
}
