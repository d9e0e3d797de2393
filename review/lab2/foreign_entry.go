package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// foreignEntry has another writer overwrite the entry of a replica of the stock service, naming the order service and
// without some of the fields that an entry has. Such an entry names no replica to use. Orders that the replica of the stock
// service runs break the rule.
func foreignEntry(l *lab) (int, error) {
	const host, orders, stock = "desk.example", "order-desk", "stock-app"
	l.store.write("op/config", configuration(7, []route{
		{Name: "r-orders", Host: host, Prefix: "/orders/", Kind: "non_idempotent", Timeout: 1000, Target: 200, Service: orders, Attempts: 1},
		{Name: "r-stock", Host: host, Prefix: "/stock/", Kind: "idempotent", Timeout: 1000, Target: 200, Service: stock, Attempts: 2},
	}, orders, stock))
	zones := []string{"kigali-a", "huye-a", "musanze-a"}
	regions := map[string]string{"kigali-a": "kigali", "huye-a": "huye", "musanze-a": "musanze"}
	var stocks []*replica
	for i, zone := range zones {
		if _, err := startReplica(fmt.Sprintf("i-order%d", i+1), orders, zone, l.store, l.record); err != nil {
			return couldNot, err
		}
		r, err := startReplica(fmt.Sprintf("i-stock%d", i+1), stock, zone, l.store, l.record)
		if err != nil {
			return couldNot, err
		}
		stocks = append(stocks, r)
	}
	if err := l.startNodes(zones, regions); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := make(map[string]answered)
	for _, n := range l.nodes {
		clients.Go(func() {
			c := newClient(l.record)
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				a := c.send(n, "POST", host, "/orders/place", []byte("one duck house"), time.Second)
				mu.Lock()
				sent[a.request] = a
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	// The whole entry without its version and its sequence, as a tool of another team might write it; then one with a
	// version of another type; then one without the number of slots.
	own := stocks[0].own()
	base := map[string]any{"service": orders, "address": own.Address, "zone": own.Zone, "slots": own.Slots, "state": "ready", "cold_remaining_ms": 0, "born": own.Born}
	noSequence, otherType, noSlots := clone(base), clone(base), clone(base)
	otherType["version"], otherType["sequence"] = 1, "many"
	noSlots["version"], noSlots["sequence"] = "v1", 9
	delete(noSlots, "slots")
	for _, odd := range []map[string]any{noSequence, otherType, noSlots} {
		if l.trouble {
			value, _ := json.Marshal(odd)
			l.record.log("another writer writes %s: %s", stocks[0].key(), value)
			l.store.write(stocks[0].key(), value)
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	clients.Wait()
	foreign, served := 0, 0
	for id, a := range sent {
		if a.status == 200 {
			served++
		}
		for _, one := range l.record.runsOf(id) {
			if one.service != orders {
				foreign++
			}
		}
	}
	l.record.log("%d orders sent, %d answered with 200, %d run by a replica of %s", len(sent), served, foreign, stock)
	if served < len(sent)/2 {
		return couldNot, errors.New("fewer than half of the orders were served")
	}
	if foreign > 0 {
		return broken, nil
	}
	return held, nil
}

func clone(m map[string]any) map[string]any {
	copied := make(map[string]any, len(m))
	for k, v := range m {
		copied[k] = v
	}
	return copied
}
