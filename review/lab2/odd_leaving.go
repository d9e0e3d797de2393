package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// oddLeaving has another writer write one entry under the key of each replica of a service, once: without the version and
// the sequence that an entry has, and with the state of a replica that leaves. Such an entry names no replica, and the
// replicas write their own entries again with their next heartbeat. Clients come after that. The rule is broken if none
// of their requests is served, although the store lists all replicas as ready.
func oddLeaving(l *lab) (int, error) {
	const host, orders = "desk.example", "order-desk"
	l.store.write("op/config", configuration(7, []route{
		{Name: "r-orders", Host: host, Prefix: "/orders/", Kind: "non_idempotent", Timeout: 1000, Target: 200, Service: orders, Attempts: 1},
	}, orders))
	zones := []string{"kigali-a", "huye-a", "musanze-a"}
	regions := map[string]string{"kigali-a": "kigali", "huye-a": "huye", "musanze-a": "musanze"}
	var replicas []*replica
	for i, zone := range zones {
		r, err := startReplica(fmt.Sprintf("i-order%d", i+1), orders, zone, l.store, l.record)
		if err != nil {
			return couldNot, err
		}
		replicas = append(replicas, r)
	}
	if err := l.startNodes(zones, regions); err != nil {
		return couldNot, err
	}
	for _, r := range replicas {
		own := r.own()
		value, _ := json.Marshal(map[string]any{"service": own.Service, "address": own.Address, "zone": own.Zone, "slots": own.Slots,
			"state": "draining", "cold_remaining_ms": 0, "born": own.Born})
		if l.trouble {
			l.record.log("another writer writes %s: %s", r.key(), value)
			l.store.write(r.key(), value)
		}
	}
	time.Sleep(5 * time.Second)
	if err := listedReady(l.store, replicas); err != nil {
		return couldNot, err
	}
	var mu sync.Mutex
	sent, served := 0, 0
	statuses := make(map[int]int)
	var clients sync.WaitGroup
	for _, n := range l.nodes {
		clients.Go(func() {
			c := newClient(l.record)
			for end := time.Now().Add(70 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				a := c.send(n, http.MethodPost, host, "/orders/place", []byte("one duck house"), time.Second)
				mu.Lock()
				sent++
				statuses[a.status]++
				if a.status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	if err := listedReady(l.store, replicas); err != nil {
		return couldNot, err
	}
	l.record.log("%d orders sent, %d served; by status: %v; the store lists all replicas as ready", sent, served, statuses)
	if served == 0 {
		return broken, nil
	}
	return held, nil
}

// listedReady returns an error unless the store holds the replicas' own entries, in state ready.
func listedReady(s *store, replicas []*replica) error {
	for _, r := range replicas {
		var stored entry
		if json.Unmarshal(s.value(r.key()), &stored) != nil || stored.State != "ready" || stored.Version == "" {
			return errors.New("the store does not list " + r.id + " as ready")
		}
	}
	return nil
}
