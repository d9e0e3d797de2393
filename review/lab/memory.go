package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallMemoryMB is the memory of the smallest machines of the large site. The platform kills a process that exceeds it
	// and starts it again.
	smallMemoryMB = 184
	restartDelay  = 3 * time.Second
	endsThatBreak = 3
	// maxChanges is the number of changes of the configuration that the users expect in a day.
	maxChanges = 1300
	maxPlay    = 112 * time.Second
	startTime  = 6 * time.Second
)

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

// limited keeps an instance within the memory of its machine, as the platform does, until stop is closed.
type limited struct {
	node *node
	// memoryMB is the limit.
	memoryMB int
	ends     atomic.Int64
	peak     atomic.Int64
	// startedAt is when the process was last started, in Unix nanoseconds.
	startedAt atomic.Int64
}

func (l *limited) watch(stop chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := residentMB(l.node.cmd.Process.Pid)
		l.peak.Store(max(l.peak.Load(), int64(used)))
		if used <= l.memoryMB {
			continue
		}
		record.printf("%s uses %d MB of %d and is killed, end %d", l.node.name, used, l.memoryMB, l.ends.Add(1))
		l.node.cmd.Process.Kill()
		<-l.node.ended
		time.Sleep(restartDelay)
		l.startedAt.Store(time.Now().UnixNano())
		l.node.start()
	}
}

// broken reports whether two instances have ended three times.
func tooManyEnds(nodes []*limited) int {
	n := 0
	for _, l := range nodes {
		if l.ends.Load() >= endsThatBreak {
			n++
		}
	}
	if n >= 2 {
		return n
	}
	return 0
}

func ends(nodes []*limited) string {
	var texts []string
	for _, l := range nodes {
		texts = append(texts, fmt.Sprintf("%s ended %d times, peak %d MB", l.node.name, l.ends.Load(), l.peak.Load()))
	}
	return strings.Join(texts, "; ")
}

func startLimited(dir string, s *store, count, memoryMB int, stop chan struct{}, done *sync.WaitGroup) []*limited {
	var peers []string
	for range count {
		peers = append(peers, freeAddr())
	}
	var nodes []*limited
	for n := range count {
		l := &limited{memoryMB: memoryMB, node: newNode(dir, fmt.Sprintf("edge-nadi-a-%d", n+1), "nadi-a", s.newGate().addr, peers[n], peers)}
		l.node.start()
		nodes = append(nodes, l)
		done.Add(1)
		go l.watch(stop, done)
	}
	return nodes
}

// post sends one request and records its answer.
func post(n *node, id string, body []byte) (status int, err error) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+n.front+"/lohu930/2f", bytes.NewReader(body))
	req.Host = "ficu95.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set(names.Deadline, "4000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		record.printf("%s to %s, %d bytes: %v", id, n.name, len(body), err)
		return 0, err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	record.printf("%s to %s, %d bytes: status %d", id, n.name, len(body), resp.StatusCode)
	return resp.StatusCode, nil
}

func startPlainReplicas(s *store, count int) {
	serve := func(r *replica, w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		record.printf("replica %s runs %s", r.id, req.Header.Get("Request-Id"))
		r.sign(w, req)
		time.Sleep(30 * time.Millisecond)
		io.WriteString(w, "ok\n")
	}
	for n := range count {
		r := &replica{id: fmt.Sprintf("i-%d", n), service: "svc-old", slots: 6, store: s, serve: serve}
		r.start()
	}
}

// configMemory changes a configuration that has grown by many routes, in storms, no more often than is expected in a
// day. Some requests run meanwhile.
func configMemory(dir string) (int, string) {
	s := newStore()
	startPlainReplicas(s, 3)
	s.Put("op/config", largeConfig(1, "svc-old", routesAdded))
	stop := make(chan struct{})
	var done sync.WaitGroup
	nodes := startLimited(dir, s, 3, smallMemoryMB, stop, &done)
	time.Sleep(startTime)
	done.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				post(nodes[n%len(nodes)].node, fmt.Sprintf("order-%d", n), []byte("order"))
			}
		}
	})
	version, config := 1, versions(routesAdded)
	for start := time.Now(); time.Since(start) < maxPlay-startTime && version < maxChanges && tooManyEnds(nodes) == 0; {
		if !trouble && time.Since(start) > 30*time.Second {
			break
		}
		for end := time.Now().Add(stormTime); trouble && time.Now().Before(end); time.Sleep(stormGap) {
			version++
			s.Put("op/config", config(version))
		}
		record.printf("the store has acknowledged version %d; %s", version, ends(nodes))
		time.Sleep(100 * time.Millisecond)
		for _, l := range nodes {
			// In the first seconds of a process, a storm would show another fault (the case config-storm).
			time.Sleep(time.Until(time.Unix(0, l.startedAt.Load()).Add(startTime)))
		}
	}
	close(stop)
	done.Wait()
	return tooManyEnds(nodes), fmt.Sprintf("%d changes of the configuration: %s", version-1, ends(nodes))
}
