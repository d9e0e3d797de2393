package daemon

import (
	"rhubarbpoint/scale"
	"rhubarbpoint/stages"
)

// newScaling returns nil without a control API: nothing can be ordered then.
func newScaling(r *routedInstance) *scale.Controller {
	if r.control == nil {
		return nil
	}
	return scale.NewController(scale.Options{
		Store: r.store, Orderer: r.control, Authority: r.duties, Need: r.duties.Duty("scale").Need, Demand: r.activity.demand,
		Table: r.discovery.Table, Replicas: r.replicas.All, RegionOf: r.settings.RegionOf, Metrics: r.metrics, Logger: r.logger,
	})
}

// scalesReplicas reports whether the numbers of replicas of some service are to be ordered, for which the demand must be
// known.
func (r *routedInstance) scalesReplicas() bool {
	table := r.discovery.Table()
	if r.control == nil || table == nil {
		return false
	}
	for _, service := range table.Services {
		if service.Scaling != nil {
			return true
		}
	}
	return false
}

// needsDemand reports whether the demand must be known to order replicas or to divide them into stages.
func (r *routedInstance) needsDemand() bool {
	return r.scalesReplicas() || stages.NeedsDemand(r.discovery.Table(), r.dividesByDemand)
}

// dividesByDemand reports whether the division of a service into stages follows the demand.
func (r *routedInstance) dividesByDemand(string) bool { return r.settings.StageDemand }
