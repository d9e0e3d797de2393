package stages

// bounds are the least and the largest number of decode replicas with which a zone is left unchanged.
type bounds struct{ least, most int }

// defaultBounds depend only on the number of replicas and of their slots, so that an executed plan leaves no changes.
func defaultBounds(replicas, slots int) bounds {
	return bounds{decodeCount(replicas, slots, minSlotsPerPrefill), decodeCount(replicas, slots, targetSlotsPerPrefill)}
}
