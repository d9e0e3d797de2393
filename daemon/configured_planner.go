package daemon

import (
	"rhubarbpoint/config"
	"rhubarbpoint/role"
)

// configuredPlanner is a planner that takes its policy from the configuration in force. Like role.Planner, it is for
// one goroutine at a time.
type configuredPlanner struct {
	*role.Planner
	models func() config.Models
}

// Plan implements controller.Planner.
func (p *configuredPlanner) Plan(in *role.Input) *role.Change {
	p.SetPolicy(policyOf(p.models()))
	return p.Planner.Plan(in)
}

func policyOf(models config.Models) role.Policy {
	return role.Policy{ChangeTime: models.Roles.ChangeTime.D(), ChangeCost: models.Roles.RoleChangeCost}
}
