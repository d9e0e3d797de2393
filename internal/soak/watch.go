package soak

import (
	"encoding/json"
	"net/http"
	"time"
)

// watchPause is the time between two looks at the version of an instance.
const watchPause = 100 * time.Millisecond

// inForce returns the version of the routes of an instance, 0 if it does not say.
func (i *instance) inForce(client *http.Client) int64 {
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

// watch checks that the version of the routes of an instance never goes back while its process lives.
func (i *instance) watch(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	process, last := i.current(), int64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchPause):
		}
		before := i.current()
		version := i.inForce(client)
		if i.current() != before || version == 0 {
			continue
		}
		if before == process && version < last {
			i.site.ledger.violation("configuration: %s went back from version %d to %d", i.node.ID, last, version)
		}
		process, last = before, version
	}
}

// waitCaughtUp waits until the instance has the newest routes and serves requests, and notes when it does not in time.
func (i *instance) waitCaughtUp(deadline time.Time) {
	client := &http.Client{Timeout: time.Second}
	served := i.site.ledger.servedBy(i.node.ID)
	for {
		version, newest := i.inForce(client), i.site.operator.newest()
		now := i.site.ledger.servedBy(i.node.ID)
		if version == newest && now > served+recoveredServed {
			return
		}
		if time.Now().After(deadline) {
			i.site.ledger.violation("recovery: %s has version %d of %d and served %d requests", i.node.ID, version, newest, now-served)
			return
		}
		time.Sleep(watchPause)
	}
}
