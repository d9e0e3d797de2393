package entry

import (
	"math/rand/v2"
	"time"

	"rhubarbpoint/config"
)

// servingCounter is implemented by routers that know how many engines serve a version.
type servingCounter interface {
	Serving(now time.Time, model, version string) int
}

// chooseVersion returns the version for a request that has no tokens yet. While engines load a new version one after
// another, requests are split between the versions by the number of engines that have each, so that the first engine
// with the new version does not get all requests.
func (s *Server) chooseVersion(model *config.Model) string {
	counter, known := s.opts.Router.(servingCounter)
	if model.PreviousVersion == "" || !known {
		return model.Version
	}
	now := time.Now()
	current := counter.Serving(now, model.Name, model.Version)
	previous := counter.Serving(now, model.Name, model.PreviousVersion)
	// Engines that have both versions count for the current one only.
	previous = max(previous-current, 0)
	// Without any report, only the previous version is certain to be loaded.
	if current+previous == 0 || rand.IntN(current+previous) >= current {
		return model.PreviousVersion
	}
	return model.Version
}
