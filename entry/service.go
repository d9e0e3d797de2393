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

// service serves a call to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, c *call) *Error {
	service, route, below, err := findService(c.doc, r)
	if err != nil {
		return err
	}
	key := ""
	if !route.Idempotent {
		if key, err = orderKey(r.Header); err != nil {
			return err
		}
	}
	body, err := s.readBody(w, r, c)
	if err != nil {
		return err
	}
	if r.URL.RawQuery != "" {
		below += "?" + r.URL.RawQuery
	}
	e := &exchange{
		server: s, service: service,
		call: &relay.Call{ID: c.id, Method: r.Method, Target: below, Header: forwarded(r.Header, c), Body: body, LastEventID: -1},
	}
	var answer *claim.Response
	if route.Idempotent {
		answer, err = e.runIdempotent(r.Context())
	} else {
		answer, err = e.runOrder(r.Context(), c, key)
	}
	if err != nil {
		return err
	}
	writeAnswer(w, answer)
	return nil
}

func writeAnswer(w http.ResponseWriter, answer *claim.Response) {
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	if answer.Status == http.StatusNoContent || answer.Status == http.StatusNotModified {
		w.WriteHeader(answer.Status)
		return
	}
	writeWhole(w, answer.Status, answer.Body)
}

// replicas returns the upstreams of a service in the order in which a call tries them: healthy ones of this region,
// healthy ones elsewhere, then the others. Leaving ones are left out unless all are leaving.
func (s *Server) replicas(now time.Time, service *config.Service) []config.Upstream {
	var staying []config.Upstream
	for _, u := range service.Upstreams {
		if !s.opts.Leaving(u.ID) {
			staying = append(staying, u)
		}
	}
	if len(staying) == 0 {
		staying = slices.Clone(service.Upstreams)
	}
	ids := make([]string, len(staying))
	for i, u := range staying {
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
	rand.Shuffle(len(staying), func(i, j int) { staying[i], staying[j] = staying[j], staying[i] })
	slices.SortStableFunc(staying, func(a, b config.Upstream) int { return rank(a) - rank(b) })
	return staying
}
