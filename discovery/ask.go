package discovery

import "time"

// Ask is what one instance asks another for.
type Ask struct {
	// After is the revision after which the changes are wanted, Wait how long to wait for one.
	After int64
	Wait  time.Duration
	// KnownAge is the age of the newest confirmation by the store that the asking instance knows. A confirmation that is
	// newer by more than confirmSlack ends the wait. 0 means that none is needed.
	KnownAge time.Duration
}

const (
	// maxKnownAge stands for no confirmation at all.
	maxKnownAge = 24 * time.Hour
	// confirmSlack keeps an instance whose link delays calls by different times from asking in a loop for a confirmation
	// that it has already: its own figure is older by the time of its call. It is a small part of watchWait.
	confirmSlack = 250 * time.Millisecond
)
