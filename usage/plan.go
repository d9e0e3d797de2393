package usage

import "time"

const (
	// decideAfter is the time from the end of a window to its decision. Instances send their counts every second, and at
	// least every two seconds; activity.FinalAfter after the end no more counts are added.
	decideAfter = 3 * time.Second
	// grace is how long after its due time a report is still sent.
	grace = 5 * time.Second
	// minKept is the least number of decided windows that are kept in the store.
	minKept = 4
	// firstRetry and maxRetry bound the pause after a failed attempt to send a report, which doubles each time.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 2 * time.Second
	// startPatience is how long after its first tick a new holder waits for the counts of most instances, although windows
	// must be decided at once. A collector that did not respond is asked again after 3 s; until then its stand-in, which may
	// have no counts, is asked.
	startPatience = 4500 * time.Millisecond
)

// Schedule is when windows are decided and due.
type Schedule struct {
	// Window is the length of a window, Due the time from its end until which its report must have arrived.
	Window, Due time.Duration
}

// End returns the end of a window.
func (s Schedule) End(window int64) time.Time {
	return time.UnixMilli((window + 1) * s.Window.Milliseconds())
}

// Containing returns the window that contains a moment.
func (s Schedule) Containing(at time.Time) int64 { return at.UnixMilli() / s.Window.Milliseconds() }

// Kept returns how long after its end a window can still be needed.
func (s Schedule) Kept() time.Duration { return s.Due + grace }

// keptWindows returns the number of decided windows to keep in the store: all that may still be sent.
func (s Schedule) keptWindows() int {
	return max(minKept, int((s.Kept()+s.Window-1)/s.Window)+1)
}

// mustDecide returns the time from which a window is decided although some instances have not reported its counts. Half
// of the time until it is due remains for the attempts to send it.
func (s Schedule) mustDecide(window int64) time.Time {
	return s.End(window).Add(max(decideAfter, s.Due/2))
}

// sending is how far this instance has got with a decided window.
type sending struct {
	done bool
	// attempts failed so far; the next one may be made at next.
	attempts int
	next     time.Time
}

// State is what a plan depends on.
type State struct {
	// Now is true time.
	Now      time.Time
	Schedule Schedule
	// First is the first window of the deployment that is reported.
	First int64
	// Decided are the windows in the store, in ascending order, Sending the progress of this holder.
	Decided []Decided
	Sending map[int64]sending
	// Complete reports whether the counts of a window from all live instances are known.
	Complete func(window int64) bool
	// Unfetched is set while a new holder lacks the counts of most live instances, for at most startPatience.
	Unfetched func(window int64) bool
}

// Plan is what a holder should do next.
type Plan struct {
	// Missed are windows that cannot be reported any more, from the first to the last; none if last is less.
	MissedFirst, MissedLast int64
	// Decide are the windows to decide now, in ascending order.
	Decide []int64
	// Fetch is set if a window is due for decision and its counts must be fetched first.
	Fetch bool
	// Send are the decided windows to send now, oldest first.
	Send []Decided
}

// next returns the plan. It answers calls that fail or take seconds at the store, the collectors and the control API: a
// window is decided once, as early as its counts are complete and in any case in time to be sent; it is sent only as
// decided, with growing pauses, until grace after it was due. A window without any request is reported as well, because
// the platform counts a missing report as a fault.
func next(s State) Plan {
	from := s.First
	if n := len(s.Decided); n > 0 {
		from = max(from, s.Decided[n-1].Window+1)
	}
	var p Plan
	// The first window that can still be sent.
	oldest := s.Schedule.Containing(s.Now.Add(-s.Schedule.Kept()))
	p.MissedFirst, p.MissedLast = from, oldest-1
	for window := max(from, oldest); !s.Now.Before(s.Schedule.End(window).Add(decideAfter)); window++ {
		p.Fetch = true
		if !s.Complete(window) && (s.Now.Before(s.Schedule.mustDecide(window)) || s.Unfetched(window)) {
			break
		}
		p.Decide = append(p.Decide, window)
	}
	for _, d := range s.Decided {
		progress := s.Sending[d.Window]
		if !progress.done && d.Window >= oldest && !s.Now.Before(progress.next) {
			p.Send = append(p.Send, d)
		}
	}
	return p
}

// afterFailure returns the progress after a failed attempt at the time now.
func (s sending) afterFailure(now time.Time) sending {
	pause := min(firstRetry<<min(s.attempts, 10), maxRetry)
	return sending{attempts: s.attempts + 1, next: now.Add(pause)}
}
