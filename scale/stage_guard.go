package scale

import "rhubarbpoint/upstream"

// stageGuard keeps a decrease from taking the last replica of a stage from a region. The platform chooses the replicas
// that it removes, so each decrease counts as taking those of any one stage first.
type stageGuard struct{ left map[regionStage]int }

type regionStage struct {
	region string
	stage  upstream.Stage
}

// newStageGuard counts the replicas that are left after all orders that are on their way.
func newStageGuard(zones []*zone) *stageGuard {
	g := &stageGuard{left: make(map[regionStage]int)}
	for _, z := range zones {
		for kind, serving := range z.serving {
			excess := max(0, len(serving)-z.current[kind])
			for stage, count := range stages(serving) {
				g.left[regionStage{z.region, stage}] += count - min(excess, count)
			}
		}
	}
	return g
}

// allow returns how many of n replicas of a kind may be removed from a zone, and counts them as removed.
func (g *stageGuard) allow(z *zone, kind Kind, n int) int {
	counts := stages(z.serving[kind])
	for stage, count := range counts {
		if left := g.left[regionStage{z.region, stage}]; count >= left {
			n = min(n, max(0, left-1))
		}
	}
	for stage, count := range counts {
		g.left[regionStage{z.region, stage}] -= min(n, count)
	}
	return n
}

func stages(replicas []upstream.Replica) map[upstream.Stage]int {
	counts := make(map[upstream.Stage]int)
	for i := range replicas {
		counts[replicas[i].Stage]++
	}
	return counts
}
