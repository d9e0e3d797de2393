package bench

import (
	"rhubarbpoint/engine"
	"rhubarbpoint/role"
	"rhubarbpoint/role/controller"
)

// routing is how an entry instance chooses an engine.
type routing int

const (
	routeTable routing = iota // route.Table
	routeRandom
	routeRoundRobin
	routeLeastLoad
)

// Policy is one row of the table.
type Policy struct {
	Name    string
	routing routing
	// roles are those of the engines of each region at the start.
	roles [EnginesPerRegion]engine.Role
	// regionRoles replaces roles by those of each region.
	regionRoles *[Regions]rolesOfRegion
	// planner returns the planner of a region, or nil for fixed roles.
	planner func(region int) controller.Planner
}

const (
	mixedRole   = engine.RoleMixed
	prefillRole = engine.RolePrefill
	decodeRole  = engine.RoleDecode
)

var (
	allMixed = [EnginesPerRegion]engine.Role{mixedRole, mixedRole, mixedRole}
	// staticSplit suits the stated share of prefill work of 32 %: one engine in three.
	staticSplit = [EnginesPerRegion]engine.Role{prefillRole, decodeRole, decodeRole}
)

// The weightings of the two users, as config.Roles.RoleChangeCost.
const (
	LowChangeCost  = 0.0
	HighChangeCost = 20.0
)

func projectPolicy(name string, cost float64) Policy {
	return Policy{Name: name, roles: staticSplit, planner: func(int) controller.Planner {
		return role.NewPlanner(role.Policy{ChangeTime: changeTime, ChangeCost: cost})
	}}
}

// Policies returns the rows except the hindsight optimum.
func Policies() []Policy {
	return []Policy{
		{Name: "random", routing: routeRandom, roles: allMixed},
		{Name: "round-robin", routing: routeRoundRobin, roles: allMixed},
		{Name: "least-load", routing: routeLeastLoad, roles: allMixed},
		{Name: "static", roles: staticSplit},
		{Name: "greedy", roles: staticSplit, planner: func(int) controller.Planner { return &greedy{} }},
		projectPolicy(policyGoodput, LowChangeCost),
		projectPolicy(policyChanges, HighChangeCost),
	}
}

// Names of rows that the final lines refer to.
const (
	policyStatic  = "static"
	policyGreedy  = "greedy"
	policyGoodput = "project/goodput"
	policyChanges = "project/changes"
	policyOptimum = "optimum"
	// policyBestStatic is chosen in hindsight too.
	policyBestStatic = "best static"
)
