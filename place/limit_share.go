package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbpoint/upstream"
)

const (
	// minLimit is used for a replica that names a lower limit, in requests a second, so that some request can find out
	// that the limit has ended.
	minLimit = 0.5
	// shareHeadroom is the factor by which the shares together exceed the limit. Instances with little traffic leave a
	// part of their shares unused.
	shareHeadroom = 1.25
	// minShare is the least share of an instance that sends regularly, in requests a second. With smaller shares a few
	// idle instances could exceed the limit together with what they have accumulated.
	minShare = 1.0
	// occasionalShare is the part of the limit that is left to the instances that do not send regularly. They find out when
	// the limit has ended.
	occasionalShare = 0.1
	// occasionalWindow is how long an instance that does not send regularly may use its turn.
	occasionalWindow = time.Second
	// burstTime is the time for which an instance can accumulate its share.
	burstTime = 500 * time.Millisecond
	// shareRefresh is how often a share is computed anew, because instances come and go.
	shareRefresh = time.Second
)

// limitShare is an instance's share of the limit of a replica.
type limitShare struct {
	rate float64 // requests a second
	// every and turn are set for an instance that does not send regularly: it sends at most one request in each period,
	// within occasionalWindow after turn.
	every, turn time.Duration
}

// divideLimit divides the limit of a replica, in requests a second, over the instances. It answers a load that many
// instances send to a replica which can take less than usual, without messages between them: each computes its own
// share from the list of instances. If the shares would be small, the nearest instances have all but a part of the
// limit.
func divideLimit(limit float64, instances []Instance, self string, r *upstream.Replica) limitShare {
	limit = max(limit, minLimit)
	regular := max(1, int(limit/minShare))
	if len(instances) <= regular {
		return limitShare{rate: limit * shareHeadroom / float64(max(1, len(instances)))}
	}
	nearest := slices.SortedFunc(slices.Values(instances), func(a, b Instance) int {
		return cmp.Or(cmp.Compare(rttBetween(a.Region, a.Zone, r.Region, r.Zone), rttBetween(b.Region, b.Zone, r.Region, r.Zone)),
			cmp.Compare(shareHash(a.ID, r), shareHash(b.ID, r)))
	})
	rank := slices.IndexFunc(nearest, func(i Instance) bool { return i.ID == self })
	if rank >= 0 && rank < regular {
		return limitShare{rate: limit * (1 - occasionalShare) / float64(regular)}
	}
	rate := limit * occasionalShare / float64(len(instances)-regular)
	every := max(time.Duration(float64(time.Second)/rate), 2*occasionalWindow)
	return limitShare{rate: rate, every: every, turn: time.Duration(shareHash(self, r) % uint64(every))}
}

func shareHash(instance string, r *upstream.Replica) uint64 {
	return xxhash.Sum64String(instance + "/" + r.ID)
}
