package operator

import (
	"net/http"
	"strconv"
)

// Member is an instance and the version that it has in force, or 0 if that is unknown.
type Member struct {
	ID      string `json:"id"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Version int64  `json:"version"`
}

// Rollout reports on which members a version is in force. InForce is set when every member has it or a higher one.
// Behind is the number of members with a lower one.
type Rollout struct {
	Version int64    `json:"version"`
	InForce bool     `json:"in_force"`
	Behind  int      `json:"behind"`
	Members []Member `json:"members"`
}

func (s *Server) rollout(w http.ResponseWriter, r *http.Request) {
	rollout := Rollout{Version: s.opts.Manager.Version(), Members: []Member{}}
	if text := r.FormValue("version"); text != "" {
		version, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			writeError(w, &Error{Code: CodeBadRequest, Message: "version must be a number"})
			return
		}
		rollout.Version = version
	}
	if s.opts.Members != nil {
		rollout.Members = append(rollout.Members, s.opts.Members()...)
	}
	for _, m := range rollout.Members {
		if m.Version < rollout.Version {
			rollout.Behind++
		}
	}
	rollout.InForce = rollout.Behind == 0 && s.opts.Manager.Version() >= rollout.Version
	writeJSON(w, rollout)
}
