package activity

import "time"

// received is a report with the local time at which a collector received it.
type received struct {
	report *Report
	at     time.Time
}
