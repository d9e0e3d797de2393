package entry

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"rhubarbpoint/claim"
	"rhubarbpoint/config"
	"rhubarbpoint/memory"
	"rhubarbpoint/relay"
)

// serveService serves a request to a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request, info *requestInfo) *Error {
	service, route, subpath, err := findService(info.doc, r)
	if err != nil {
		return err
	}
	key := ""
	if !route.Idempotent {
		if key, err = idempotencyKey(r.Header); err != nil {
			return err
		}
	}
	body, err := s.readBody(w, r, info)
	if err != nil {
		return err
	}
	if r.URL.RawQuery != "" {
		subpath += "?" + r.URL.RawQuery
	}
	e := &serviceExchange{
		server: s, service: service,
		call: &relay.Call{ID: info.id, Method: r.Method, Target: subpath, Header: forwardedHeader(r.Header, info), Body: body, LastEventID: -1},
	}
	var response *claim.Response
	if route.Idempotent {
		response, err = e.runIdempotent(r.Context())
	} else {
		response, err = e.runOrder(r.Context(), info, key)
	}
	if err != nil {
		return err
	}
	writeServiceResponse(w, response, info.holding)
	return nil
}

func writeServiceResponse(w http.ResponseWriter, response *claim.Response, holding *memory.Holding) {
	holding.Add(int64(len(response.Body)))
	if response.ContentType != "" {
		w.Header().Set("Content-Type", response.ContentType)
	}
	if response.Status == http.StatusNoContent || response.Status == http.StatusNotModified {
		w.WriteHeader(response.Status)
		return
	}
	writeBody(w, response.Status, response.Body, holding)
}

// serviceReplicas returns the upstreams of a service in the order in which a request tries them: healthy ones of this
// region, healthy ones of other regions, then unhealthy ones. Leaving upstreams are left out unless all are leaving.
func (s *Server) serviceReplicas(now time.Time, service *config.Service) []config.Upstream {
	var candidates []config.Upstream
	for _, u := range service.Upstreams {
		if !s.opts.Leaving(u.ID) {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		candidates = slices.Clone(service.Upstreams)
	}
	ids := make([]string, len(candidates))
	for i, u := range candidates {
		ids[i] = u.ID
	}
	excluded := s.opts.Health.Excluded(now, ids)
	rank := func(u config.Upstream) int {
		switch {
		case excluded[u.ID]:
			return 2
		case u.Region != s.opts.Region:
			return 1
		}
		return 0
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b config.Upstream) int { return rank(a) - rank(b) })
	return candidates
}
