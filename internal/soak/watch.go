package soak

import (
	"encoding/json"
	"net/http"
	"time"
)

// watchInterval is the time between two reads of the version of an instance's routes.
const watchInterval = 100 * time.Millisecond

// fetchRoutesVersion returns the version of the routes in force at the instance, or 0 if it cannot be read.
func (i *instance) fetchRoutesVersion(client *http.Client) int64 {
	resp, err := client.Get("http://" + i.node.Operator + "/debug/state?part=routes")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var state struct {
		Routes struct{ Version int64 } `json:"routes"`
	}
	if json.NewDecoder(resp.Body).Decode(&state) != nil {
		return 0
	}
	return state.Routes.Version
}

// watchRoutes checks that the version of the routes of an instance never decreases while the same process runs.
func (i *instance) watchRoutes(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	lastProcess, lastVersion := i.currentProcess(), int64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchInterval):
		}
		process := i.currentProcess()
		version := i.fetchRoutesVersion(client)
		if i.currentProcess() != process || version == 0 {
			continue
		}
		if process == lastProcess && version < lastVersion {
			i.cluster.recorder.recordViolation("configuration: %s went back from version %d to %d",
				i.node.ID, lastVersion, version)
		}
		lastProcess, lastVersion = process, version
	}
}

// waitRecovered waits until the instance has the newest routes and serves requests. If it does not by the deadline,
// that is a violation.
func (i *instance) waitRecovered(deadline time.Time) {
	client := &http.Client{Timeout: time.Second}
	served := i.cluster.recorder.servedBy(i.node.ID)
	for {
		version, newest := i.fetchRoutesVersion(client), i.cluster.writer.newestVersion()
		now := i.cluster.recorder.servedBy(i.node.ID)
		if version == newest && now > served+minServedAfterRecovery {
			return
		}
		if time.Now().After(deadline) {
			i.cluster.recorder.recordViolation("recovery: %s has routes of version %d, not %d, and served %d requests",
				i.node.ID, version, newest, now-served)
			return
		}
		time.Sleep(watchInterval)
	}
}
