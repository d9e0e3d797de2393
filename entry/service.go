package entry

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"rhubarbpoint/claim"
	"rhubarbpoint/config"
	"rhubarbpoint/relay"
)

// serveService serves a call to a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request, c *requestInfo) *Error {
	service, route, subpath, err := findService(c.doc, r)
	if err != nil {
		return err
	}
	key := ""
	if !route.Idempotent {
		if key, err = idempotencyKey(r.Header); err != nil {
			return err
		}
	}
	body, err := s.readBody(w, r, c)
	if err != nil {
		return err
	}
	if r.URL.RawQuery != "" {
		subpath += "?" + r.URL.RawQuery
	}
	e := &serviceExchange{
		server: s, service: service,
		call: &relay.Call{ID: c.id, Method: r.Method, Target: subpath, Header: forwardedHeader(r.Header, c), Body: body, After: -1},
	}
	var answer *claim.Answer
	if route.Idempotent {
		answer, err = e.runIdempotent(r.Context())
	} else {
		answer, err = e.runOrder(r.Context(), c, key)
	}
	if err != nil {
		return err
	}
	writeServiceResponse(w, answer)
	return nil
}

func writeServiceResponse(w http.ResponseWriter, answer *claim.Answer) {
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	if answer.Status == http.StatusNoContent || answer.Status == http.StatusNotModified {
		w.WriteHeader(answer.Status)
		return
	}
	writeBody(w, answer.Status, answer.Body)
}

// serviceReplicas returns the upstreams of a service in the order in which a call tries them: healthy ones of this region,
// healthy ones elsewhere, then the others. Leaving ones are left out unless all are leaving.
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
