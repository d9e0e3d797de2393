package bench

import (
	"rhubarbpoint/engine"
	"rhubarbpoint/role"
	"rhubarbpoint/role/controller"
)

// routing is how an entry instance chooses an engine.
type routing int

const (
	routeTable routing = iota // route.EngineTable
	routeRandom
	routeRoundRobin
	routeLeastLoad
)

// Policy is a way to route requests and to plan roles. It is one row of the table.
type Policy struct {
	Name    string
	routing routing
	// roles are the initial roles of the engines, the same in each region.
	roles [EnginesPerRegion]engine.Role
	// regionRoles, if not nil, has the initial roles of each region and replaces roles.
	regionRoles *[Regions]engineRoles
	// planner returns the planner of a region. It is nil if roles never change.
	planner func(region int) controller.Planner
}

const (
	mixedRole   = engine.RoleMixed
	prefillRole = engine.RolePrefill
	decodeRole  = engine.RoleDecode
)

var (
	allMixed = [EnginesPerRegion]engine.Role{mixedRole, mixedRole, mixedRole}
	// staticSplit has one prefill engine in three, which suits a share of prefill work of 32 %.
	staticSplit = [EnginesPerRegion]engine.Role{prefillRole, decodeRole, decodeRole}
)

// The two users weight goodput against role changes differently. These are their values of config.Roles.RoleChangeCost.
const (
	LowChangeCost  = 0.0
	HighChangeCost = 20.0
)

// projectPolicy returns the project's policy with a cost of role changes.
func projectPolicy(name string, cost float64) Policy {
	return Policy{Name: name, roles: staticSplit, planner: func(int) controller.Planner {
		return role.NewPlanner(role.Policy{ChangeTime: roleChangeTime, ChangeCost: cost})
	}}
}

// Policies returns the policies of all rows but those that are found in hindsight.
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

// Names of the policies that the summaries and the plots refer to.
const (
	policyStatic  = "static"
	policyGreedy  = "greedy"
	policyGoodput = "project/goodput"
	policyChanges = "project/changes"
	policyOptimum = "optimum"
	// policyBestStatic is also found in hindsight.
	policyBestStatic = "best static"
)
