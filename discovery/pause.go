package discovery

import "time"

// maxDeferredPause is the longest pause after changes of deferred keys only. It delays other changes by less than a
// second, of the four within which they must be in force.
const maxDeferredPause = time.Second

// pauseAfterDeferred returns the pause after a response that has only changes of deferred keys. It answers the load of the
// system's own records, which end the watches of all followers although none of them needs the change: a longer pause
// gathers what follows. The random share, from 0 to 1, lets some followers go on early, so that a leaving replica is known
// and announced as soon as before. The pause ends when the newest confirmation has the age at which the next one is due;
// age is 0 where no confirmation is needed.
func pauseAfterDeferred(age time.Duration, share float64) time.Duration {
	longest := max(batchPause, min(maxDeferredPause, watchWait-age))
	return batchPause + time.Duration(share*float64(longest-batchPause))
}

// waitAfterPause returns the longest wait of a watch after a pause. The store's responses come as often as without a longer
// pause, so that peers go on using this instance as their source.
func waitAfterPause(pause time.Duration) time.Duration {
	return watchWait - max(0, pause-batchPause)
}
