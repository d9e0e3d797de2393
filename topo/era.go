package topo

// revisionsPerEra is the number of revisions of one era. It is a power of ten, so that both parts can be read in a log.
const revisionsPerEra = 1_000_000_000_000

// Revision returns the revision for a count of changes of a store in one of its eras. A store counts its eras: each time it
// is restored from an older copy a new one begins, in which counts are given out again. With the era in front, revisions
// still only grow, so that whatever orders changes by their revisions does so across a restore.
func Revision(era, count int64) int64 { return era*revisionsPerEra + count }

// Era returns the era of the store in which a revision was given out.
func Era(revision int64) int64 { return revision / revisionsPerEra }

// firstEra is the era of a store that was never restored. A store that does not count its eras has era 0.
const firstEra = 1

// Restored reports whether the store had been restored at least once before it gave out a revision.
func Restored(revision int64) bool { return Era(revision) > firstEra }

// Count returns the store's own count of changes within the era of a revision.
func Count(revision int64) int64 { return revision % revisionsPerEra }
