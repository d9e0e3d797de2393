package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case with large entries.
const (
	// memoryLimit is the memory of a machine, 284 MB.
	memoryLimit = 284 << 20
	// entryBytes is the largest value that the store takes.
	entryBytes = 1 << 20
	// mostEntries bounds the entries of the other writer, entryPause is the pause between two of them.
	mostEntries = 220
	entryPause  = 200 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = time.Second
	// mostEnds and endedNodes are the ends of a machine's processes, and the machines with so many, that break the rule.
	mostEnds   = 3
	endedNodes = 2
	// largeEntriesTime bounds the whole run.
	largeEntriesTime = 100 * time.Second
)

// largeEntries has another writer write entries whose bytes cannot be read among those of the replicas, each of the largest
// size that the store takes. The script ends a process whose memory exceeds that of its machine and starts it again, as
// the platform does. The rule is broken if the processes of two machines have ended three times each.
func largeEntries(l *lab) (int, error) {
	const host, orders = "desk.example", "order-desk"
	l.store.write("op/config", configuration(7, []route{
		{Name: "r-orders", Host: host, Prefix: "/orders/", Kind: "non_idempotent", Timeout: 1000, Target: 200, Service: orders, Attempts: 1},
	}, orders))
	zones := []string{"kigali-a", "huye-a", "musanze-a"}
	regions := map[string]string{"kigali-a": "kigali", "huye-a": "huye", "musanze-a": "musanze"}
	for i, zone := range zones {
		if _, err := startReplica(fmt.Sprintf("i-order%d", i+1), orders, zone, l.store, l.record); err != nil {
			return couldNot, err
		}
	}
	if err := l.startNodes(zones, regions); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	ends, peaks := make([]atomic.Int64, len(l.nodes)), make([]atomic.Int64, len(l.nodes))
	for i, n := range l.nodes {
		running.Go(func() { l.superviseMemory(n, &ends[i], &peaks[i], stop) })
	}
	var sent, served atomic.Int64
	for _, n := range l.nodes {
		running.Go(func() {
			c := newClient(l.record)
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				sent.Add(1)
				if c.send(n, http.MethodPost, host, "/orders/place", []byte("one duck house"), time.Second).status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	ended := func() (nodes int) {
		for i := range ends {
			if ends[i].Load() >= mostEnds {
				nodes++
			}
		}
		return nodes
	}
	random := rand.NewChaCha8([32]byte{37})
	written := 0
	for begin := time.Now(); time.Since(begin) < largeEntriesTime && ended() < len(l.nodes); time.Sleep(entryPause) {
		if !l.trouble || written == mostEntries {
			continue
		}
		value := make([]byte, entryBytes)
		_, _ = random.Read(value)
		key := fmt.Sprintf("servers/odd-%03d", written)
		l.store.write(key, value)
		written++
		l.record.log("another writer writes %s: %d random bytes", key, len(value))
	}
	close(stop)
	running.Wait()
	for i, n := range l.nodes {
		l.record.log("%s: %d ends, peak of %d MB", n.name, ends[i].Load(), peaks[i].Load()>>20)
	}
	l.record.log("%d entries of another writer; %d orders sent, %d served", written, sent.Load(), served.Load())
	if served.Load() == 0 {
		return couldNot, errors.New("no order was served")
	}
	if ended() >= endedNodes {
		return broken, nil
	}
	return held, nil
}

// superviseMemory ends the process of an instance when its memory exceeds that of its machine, and starts it again.
func (l *lab) superviseMemory(n *node, ends, peak *atomic.Int64, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := n.anonymous()
		peak.Store(max(peak.Load(), used))
		if used <= memoryLimit {
			continue
		}
		l.record.log("%s has %d MB: the platform ends its process", n.name, used>>20)
		n.kill()
		ends.Add(1)
		select {
		case <-stop:
			return
		case <-time.After(restartDelay):
		}
		if err := n.start(l.program, l.descriptors); err != nil {
			l.record.log("%s could not be started: %v", n.name, err)
			return
		}
	}
}
