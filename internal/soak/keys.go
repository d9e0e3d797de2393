package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"rhubarbpoint/internal/faultproxy"
	"rhubarbpoint/platform"
)

const (
	// revokeWithin is that of the instances under test.
	revokeWithin = 5 * time.Second
	// workspaceName is the only workspace.
	workspaceName = "w"
	// keyPrefix begins each key, so that a key is found wherever it appears. stableKey is in each version of the routes.
	keyPrefix = "soak-key-"
	stableKey = keyPrefix + "stable"
	// revokedPause is the time between two requests of a caller with keys that may be revoked, keyVersionsBack the number of
	// newest versions whose keys are sent. revokedCallers is the number of these callers at each instance, and
	// revokedTimeout the time that they wait, so that some requests are always under way to a suspended process.
	revokedPause    = 100 * time.Millisecond
	revokedTimeout  = time.Second
	revokedCallers  = 4
	keyVersionsBack = 4
	// revokedObserved is how long a pause goes on when no request with the revoked key may run any more.
	revokedObserved = 1500 * time.Millisecond
)

// acceptedVersion is a version of the routes and the time at which the store acknowledged it.
type acceptedVersion struct {
	version int64
	at      time.Time
}

// rotatingKey is the key that only one version of the routes has.
func rotatingKey(version int64) string { return fmt.Sprint(keyPrefix, version) }

func workspacesOf(version int64) []platform.WorkspaceEntry {
	return []platform.WorkspaceEntry{{Name: workspaceName, Keys: []string{stableKey, rotatingKey(version)}}}
}

// revokedAt returns when the store acknowledged the version after the given one, which removed its key, or false.
func (s *storeWriter) revokedAt(version int64) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := slices.IndexFunc(s.accepted, func(a acceptedVersion) bool { return a.version > version })
	if next < 0 {
		return time.Time{}, false
	}
	return s.accepted[next].at, true
}

// recentVersions returns the newest versions that the store has accepted, the newest last.
func (s *storeWriter) recentVersions() []acceptedVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.accepted[max(0, len(s.accepted)-keyVersionsBack):])
}

// revokedLongBefore reports whether a request was sent later than revokeWithin after the removal of its key. The caller
// holds mu.
func (r *recorder) revokedLongBefore(id string, sent time.Time) bool {
	version, rotating := r.keyVersions[id]
	if !rotating {
		return false
	}
	at, revoked := r.revokedAt(version)
	return revoked && sent.After(at.Add(revokeWithin))
}

// sendRevoked sends look-ups with the keys of the newest versions, of which all but the last are revoked, to an instance.
func (c *cluster) sendRevoked(to *instance, name int, stop <-chan struct{}) {
	client := &http.Client{Timeout: revokedTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(revokedPause):
		}
		versions := c.writer.recentVersions()
		if len(versions) == 0 {
			continue
		}
		version, id := versions[(n+name)%len(versions)].version, fmt.Sprintf("%s-rotating-%s-%d-%d", c.name, to.node.ID, name, n)
		c.recorder.mu.Lock()
		c.recorder.keyVersions[id] = version
		if c.recorder.revokedLongBefore(id, time.Now()) {
			c.recorder.counts.RevokedSent++
		}
		c.recorder.mu.Unlock()
		sender := &caller{cluster: c, instance: to, kind: pathLook, key: rotatingKey(version)}
		if status, _, err := sender.send(client, sender.instance, id); err == nil && status == http.StatusOK {
			c.recorder.increment(&c.recorder.counts.RotatingServed)
		}
	}
}

// revokeDuringPause cuts an instance off from the store and suspends its process, revokes a key, and resumes the process
// when no request with that key may run any more. Requests that were sent meanwhile wait in its connections. Faults that
// act on links must have ended: they would end the cut.
func (c *cluster) revokeDuringPause(i *instance) {
	i.recordDisturbance()
	defer i.recordDisturbance()
	store := i.linkTo(c.fleet.Platform.ID)
	store.Set(faultproxy.Fault{HoldToTarget: true, HoldFromTarget: true, Refuse: true})
	defer store.Set(faultproxy.Fault{})
	i.withProcess(func(i *instance) {
		i.recordPause(time.Now().Add(revokeWithin + revokedObserved))
		i.node.Pause()
		c.changeRoutes(1)
		time.Sleep(revokeWithin + revokedObserved)
		i.node.Resume()
	})
	time.Sleep(shortestFault) // the instance reads the requests
}

// checkWorkspace checks the header of a request that reached a replica: it names the workspace and holds no key.
func (r *recorder) checkWorkspace(req *http.Request) {
	if names := req.Header.Values(platform.HeaderTenant); len(names) != 1 || names[0] != workspaceName {
		r.recordViolation("keys: request %s reached a replica with the workspaces %q", req.Header.Get(platform.HeaderRequestID), names)
	}
	var head bytes.Buffer
	if err := req.Header.Write(&head); err != nil || bytes.Contains(head.Bytes(), []byte(keyPrefix)) {
		r.recordViolation("keys: request %s reached a replica with a key", req.Header.Get(platform.HeaderRequestID))
	}
}

// checkLogs checks that the logs of the instances hold no key.
func (c *cluster) checkLogs(dir string) {
	for _, i := range c.instances {
		files, _ := filepath.Glob(filepath.Join(dir, i.node.ID+"*"))
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err == nil && bytes.Contains(data, []byte(keyPrefix)) {
				c.recorder.recordViolation("keys: %s holds a key", filepath.Base(file))
			}
		}
	}
}
