package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/explain"
	"rhubarbpoint/pipeline"
	"rhubarbpoint/place"
	"rhubarbpoint/retry"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Reasons why a replica is not offered to the balancer.
const (
	excludedDraining place.Exclusion = "draining"
	excludedLeaving  place.Exclusion = "leaving"
	excludedFailing  place.Exclusion = "failing health"
)

// Explain tells how a server with Routing would serve a request that arrived now. It makes the decisions of serveRouted
// on copies of the state and changes nothing. It cannot tell whether the request is itself suspected of crashing replicas,
// because that depends on the body; the segments of the prompt are checked.
func (s *Server) Explain(now time.Time, req *explain.Request) explain.Result {
	var result explain.Result
	table, route, age, refused := s.findRoute(req.Host, pathOf(req.Path))
	if table != nil {
		result.Version = table.Version
	}
	if route != nil {
		result.Route, result.Priority = route.Name, route.Priority
	}
	if refused != nil {
		return refusedResult(result, refused, nil)
	}
	workspace, found := table.Workspaces.Named(req.Workspace)
	workspace, verdict := judgeWorkspace(table, route, workspace, found, age)
	if refused := verdict.refusal(); refused != nil {
		return refusedResult(result, refused, nil)
	}
	result.Workspace, result.Priority = workspace.Name, priorityOf(route, workspace)
	prompt := req.Prompt()
	balancer := s.opts.Routing.Balancer.Copy(prompt.Segments)
	service, refused := pickService(table, route, balancer)
	if refused != nil {
		return refusedResult(result, refused, nil)
	}
	result.Service = service.Name
	return s.explainPlacement(now, result, balancer, service, &place.Request{
		Prompt: prompt, Target: route.TargetLatency,
		Deadline: withinTimeout(now, now.Add(time.Duration(req.DeadlineMs)*time.Millisecond), route),
	})
}

// explainPlacement completes the result for a request of a service. balancer is a copy.
func (s *Server) explainPlacement(now time.Time, result explain.Result, balancer *place.Balancer, service *traffic.Service, req *place.Request) explain.Result {
	available := s.opts.Routing.Replicas.Available(service.Name)
	healthy := retry.Healthy(s.opts.Health.Copy(), now, available, upstream.Key, upstream.StageOf)
	explained := balancer.Explain(now, service, healthy, req)
	result.Replicas = append(explained.Replicas, s.excludedReplicas(now, balancer, service.Name, available, healthy)...)
	slices.SortFunc(result.Replicas, func(a, b place.ReplicaEstimate) int { return cmp.Compare(a.Replica, b.Replica) })
	err := explained.Err
	if refused := s.opts.Segments.Preview(now, segmentIDs(&req.Prompt)); refused != nil {
		err = errors.Mark(refused, pipeline.ErrFinal)
	}
	if err != nil {
		return refusedResult(result, unplacedError(markUnplaced(err), false), err)
	}
	p := explained.Placement
	result.Placement = &explain.Placement{
		Replica: p.Replica.ID, UncachedTokens: p.UncachedTokens, WaitMs: milliseconds(p.Wait), FirstByteMs: milliseconds(p.TimeToFirstByte),
	}
	if p.Prefill != nil {
		result.Placement.Prefill = p.Prefill.ID
	}
	return result
}

// excludedReplicas returns the rows of the replicas of a service that the balancer does not get to choose from.
func (s *Server) excludedReplicas(now time.Time, balancer *place.Balancer, service string, available, healthy []*upstream.Replica) []place.ReplicaEstimate {
	usable := make(map[upstream.Incarnation]place.Exclusion)
	for _, r := range available {
		usable[r.Incarnation()] = excludedFailing
	}
	for _, r := range healthy {
		usable[r.Incarnation()] = ""
	}
	var rows []place.ReplicaEstimate
	for _, r := range s.opts.Routing.Replicas.All() {
		excluded, listed := usable[r.Incarnation()]
		switch {
		case r.Service != service || listed && excluded == "":
			continue
		case r.Draining:
			excluded = excludedDraining
		case !listed:
			excluded = excludedLeaving
		}
		row := balancer.Describe(now, &r)
		row.Excluded = excluded
		rows = append(rows, row)
	}
	return rows
}

func refusedResult(result explain.Result, refused *Error, reason error) explain.Result {
	result.Refusal = &explain.Refusal{Status: refused.Status, Code: refused.Code, Message: refused.Message}
	if reason != nil {
		result.Refusal.Reason = reason.Error()
	}
	return result
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
