package daemon

import (
	"context"
	"time"

	"rhubarbpoint/operator"
)

const (
	operatorHeaderTimeout = 5 * time.Second
	// listTimeout bounds one read of the instance list for the state of a rollout.
	listTimeout = 2 * time.Second
)

func (i *instance) addOperator() {
	state := operator.NewStateRegistry()
	state.Register("config/manager", i.manager.Dump)
	state.Register("member", func() any { return i.member.Dump() })
	state.Register("entry", func() any { return i.server.State(time.Now()) })
	state.Register("route", func() any { return i.table.State(time.Now()) })
	state.Register("admit", func() any { return i.capacity.admitter.State(time.Now()) })
	if i.claimer != nil {
		state.Register("claim", func() any { return i.claimer.Dump() })
		state.Register("authority/holder", func() any { return i.holder.Dump() })
		state.Register("authority/gate", func() any { return i.gate.Dump() })
	}
	handler := operator.NewServer(operator.Options{
		Manager: i.manager, Members: i.members, Ready: i.ready, Metrics: i.metrics, State: state,
	}).Handler()
	i.operator = newOperatorServer(handler)
}

// members returns the live members and the listed instances without a live member. The version of the latter is unknown
// and reported as 0, so that a version counts as in force everywhere only when they have reported theirs.
func (i *instance) members() []operator.Member {
	live := i.member.Live()
	var list []operator.Member
	for _, m := range live {
		list = append(list, operator.Member{
			ID: m.GetId(), Region: m.GetRegion(), Zone: m.GetZone(), Version: m.GetConfigVersion(),
		})
	}
	if i.directory == nil {
		return list
	}
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	rows, err := i.directory.Instances(ctx)
	if err != nil {
		return list
	}
	for _, row := range i.processes.missing(rows, live) {
		list = append(list, operator.Member{ID: row.ID, Region: row.Region, Zone: row.Zone})
	}
	return list
}
