package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// routesAdded is the largest number of routes by which the site files grow the configuration at once.
	routesAdded = 1856
	stormGap    = 60 * time.Millisecond
	stormTime   = 1500 * time.Millisecond

	configApply  = 2500 * time.Millisecond
	drainTime    = 2500 * time.Millisecond
	observedTime = 30 * time.Second
)

// largeConfig returns a configuration with additional routes. The route /lohu930/ leads to the given service.
func largeConfig(version int, service string, routes int) json.RawMessage {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"name": name, "host": "ficu95.example", "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 2000,
			"target_latency_ms": 250, "priority": 2, "service": service, "max_attempts": 1, "sticky": false, "resumable": false, "gap_target_ms": 0}
	}
	all := []map[string]any{route("r-1", "/lohu930/", service)}
	for n := range routes {
		all = append(all, route(fmt.Sprintf("r-%07d", n), fmt.Sprintf("/pule%04d/", n), "svc-old"))
	}
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
	}
	data, _ := json.Marshal(map[string]any{"version": version, "routes": all, "services": []map[string]any{plain("svc-old"), plain("svc-new")},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	return data
}

// versions returns a function that returns a large configuration of a version. It encodes only once, so that a storm is
// not slowed down by it.
func versions(routes int) func(version int) json.RawMessage {
	const mark = 987654321
	text := string(largeConfig(mark, "svc-old", routes))
	return func(version int) json.RawMessage {
		return json.RawMessage(strings.Replace(text, fmt.Sprint(mark), fmt.Sprint(version), 1))
	}
}

// configStorm writes a large configuration many times in quick succession. The last version moves a route to another
// service. Some seconds later a replica of the old service drains.
func configStorm(dir string) (int, string) {
	s := newStore()
	var ran sync.Map // the replica that ran a request
	serve := func(r *replica, w http.ResponseWriter, req *http.Request) {
		ran.Store(req.Header.Get("Request-Id"), r)
		r.sign(w, req)
		io.WriteString(w, "ok\n")
	}
	var replicas []*replica
	for _, service := range []string{"svc-old", "svc-new"} {
		for n := range 2 {
			r := &replica{id: fmt.Sprintf("i-%s-%d", service, n), service: service, slots: 6, store: s, serve: serve}
			r.start()
			replicas = append(replicas, r)
		}
	}
	const routes = 2 * routesAdded
	record.printf("a configuration has %d bytes", len(largeConfig(1, "svc-old", routes)))
	s.Put("op/config", largeConfig(1, "svc-old", routes))
	var nodes []*node
	var gates []*gate
	peers := []string{freeAddr(), freeAddr(), freeAddr()}
	for n := range peers {
		gates = append(gates, s.newGate())
		node := newNode(dir, fmt.Sprintf("edge-nadi-a-%d", n+1), "nadi-a", gates[n].addr, peers[n], peers)
		node.start()
		nodes = append(nodes, node)
	}
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines

	version, config := 1, versions(routes)
	for end := time.Now().Add(stormTime); trouble && time.Now().Before(end); time.Sleep(stormGap) {
		version++
		s.Put("op/config", config(version))
		record.printf("the store acknowledges version %d", version)
	}
	version++
	acked := s.Put("op/config", largeConfig(version, "svc-new", routes))
	record.printf("the store acknowledges version %d, which moves /lohu930/ from svc-old to svc-new", version)
	leaving := replicas[0]
	var drainingSince atomic.Int64
	time.AfterFunc(3*time.Second, func() {
		drainingSince.Store(leaving.list("draining").UnixNano())
		record.printf("the store acknowledges that %s is draining", leaving.id)
	})

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	stale, late, sent := 0, 0, 0
	var last time.Duration
	for round := 0; time.Since(acked) < observedTime; round++ {
		for _, n := range nodes {
			id := fmt.Sprintf("%s-%04d", n.name, round)
			req, _ := http.NewRequest(http.MethodPost, "http://"+n.front+"/lohu930/2f", strings.NewReader("order"))
			req.Host = "ficu95.example"
			req.Header.Set("Request-Id", id)
			req.Header.Set(names.Deadline, "4000")
			at := time.Now()
			sent++
			resp, err := client.Do(req)
			if err != nil {
				record.printf("%s: %v", id, err)
				continue
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			by, found := ran.Load(id)
			if !found {
				record.printf("%s: status %d, run by nobody", id, resp.StatusCode)
				continue
			}
			r, since := by.(*replica), at.Sub(acked)
			note := ""
			if r.service == "svc-old" && since > configApply {
				stale, last, note = stale+1, since, note+", which the configuration no longer allows"
			}
			if draining := drainingSince.Load(); r == leaving && draining != 0 && at.UnixNano()-draining > int64(drainTime) {
				late++
				note += fmt.Sprintf(", %d ms after the replica said that it drains", (at.UnixNano()-draining)/1e6)
			}
			record.printf("%s: sent %d ms after the acknowledgement, status %d, run by %s of %s%s", id, since.Milliseconds(), resp.StatusCode, r.id, r.service, note)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for n, g := range gates {
		record.printf("the largest response to a watch of %s had %d bytes", nodes[n].name, g.largest.Load())
	}
	return stale + late, fmt.Sprintf("%d requests: %d run by the old service later than %s, the last one sent %.1f s after the acknowledgement; %d run by a replica that drained for longer than %s",
		sent, stale, configApply, last.Seconds(), late, drainTime)
}
