package operator

import (
	"net/http"
	"strconv"
)

// Member is a live instance and the version that it has in force.
type Member struct {
	ID      string `json:"id"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Version int64  `json:"version"`
}

// Rollout says where a version is in force. InForce is set when every live member has it or a higher one.
type Rollout struct {
	Version int64    `json:"version"`
	InForce bool     `json:"in_force"`
	Behind  int      `json:"behind"`
	Members []Member `json:"members"`
}

func (s *Server) rollout(w http.ResponseWriter, r *http.Request) {
	answer := Rollout{Version: s.opts.Manager.Version(), Members: []Member{}}
	if text := r.FormValue("version"); text != "" {
		version, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			fail(w, &Error{Code: CodeBadRequest, Message: "version must be a number"})
			return
		}
		answer.Version = version
	}
	if s.opts.Members != nil {
		answer.Members = append(answer.Members, s.opts.Members()...)
	}
	for _, m := range answer.Members {
		if m.Version < answer.Version {
			answer.Behind++
		}
	}
	answer.InForce = answer.Behind == 0 && s.opts.Manager.Version() >= answer.Version
	reply(w, answer)
}
