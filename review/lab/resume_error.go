package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamEvents = 12
	eventPause   = 40 * time.Millisecond
	roundStreams = 200
	rounds       = 3
	crashTime    = 2 * time.Second
	greyShare    = 0.45 // of the requests of the failing replica
)

// resumeError has one of seven replicas crash while it runs resumable streams. Another one answers a part of its requests
// with 500.
func resumeError(dir string) (int, string) {
	s := newStore()
	var asked atomic.Int64 // requests to the failing replica
	serve := func(r *replica, w http.ResponseWriter, req *http.Request) {
		id, after := req.Header.Get("Request-Id"), 0
		if text := req.Header.Get("Last-Event-Id"); text != "" {
			after, _ = strconv.Atoi(text)
		}
		r.sign(w, req)
		if n := float64(asked.Add(b2i(r.id == "i-c"))); trouble && r.id == "i-c" && int(n*greyShare) > int((n-1)*greyShare) {
			record.printf("replica %s runs %s from event %d and answers 500", r.id, id, after+1)
			w.Header().Set("Content-Type", "text/plain")
			w.WriteHeader(http.StatusInternalServerError)
			io.WriteString(w, "internal error\n")
			return
		}
		record.printf("replica %s runs %s from event %d", r.id, id, after+1)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := after + 1; n <= streamEvents; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", n, n); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-time.After(eventPause):
			case <-req.Context().Done():
				return
			}
		}
	}
	var replicas []*replica
	for _, id := range []string{"i-a", "i-b", "i-c", "i-d", "i-e", "i-f", "i-g"} {
		r := &replica{id: id, service: "svc-llm", slots: 128, stage: "decode", store: s, serve: serve}
		r.start()
		replicas = append(replicas, r)
	}
	s.Put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{"name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 250, "priority": 1, "service": "svc-llm", "max_attempts": 2, "sticky": true, "resumable": true, "gap_target_ms": 250}},
		"services": []map[string]any{{"name": "svc-llm", "health_path": "/healthz", "max_connections": 630, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 128, "kv_capacity": 872000, "kv_token_bytes": 131072, "handle_ttl_s": 5.0}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	n := newNode(dir, "edge-nadi-a-1", "nadi-a", s.newGate().addr, freeAddr(), nil)
	n.start()
	time.Sleep(500 * time.Millisecond)

	var complete, cut, broken atomic.Int64
	send := func(number int) {
		id := fmt.Sprintf("%016x", 0x9c41d07be2a35f00+uint64(number))
		req, _ := http.NewRequest(http.MethodPost, "http://"+n.front+"/lohu930/2f", strings.NewReader("prompt "+id))
		req.Host = "ficu95.example"
		req.Header.Set("Request-Id", id)
		req.Header.Set(names.Deadline, "15000")
		req.Header.Set("Model", "m")
		req.Header.Set(names.Tokens, "100,90")
		req.Header.Set(names.Prompt, fmt.Sprintf("%x:40,%x:60", 0x5c1e07a2+number/25, 0x10000+number))
		record.printf("client sends %s", id)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
		resp, err := client.Do(req)
		if err != nil {
			record.printf("client: %s: %v", id, err)
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		events := bytes.Count(body, []byte("data: token-"))
		framing := "framed as complete"
		if err != nil {
			framing = "not complete: " + err.Error()
		}
		record.printf("client gets for %s: status %d, signature %q, %d of %d events, %s; the last bytes: %q", id, resp.StatusCode,
			resp.Header.Get(names.Signature), events, streamEvents, framing, string(body[max(0, len(body)-32):]))
		switch {
		case resp.StatusCode != http.StatusOK:
		case err != nil:
			cut.Add(1)
		case events == streamEvents && !bytes.Contains(body, []byte("internal error")):
			complete.Add(1)
		default:
			broken.Add(1)
		}
	}
	for round := range rounds {
		var streams sync.WaitGroup
		for number := range roundStreams {
			streams.Go(func() { send(round*roundStreams + number) })
		}
		time.Sleep(streamEvents / 2 * eventPause)
		if trouble {
			r := replicas[0]
			record.printf("replica %s crashes", r.id)
			r.crash()
			time.AfterFunc(crashTime, func() {
				r.start()
				record.printf("replica %s is back", r.id)
			})
		}
		streams.Wait()
		time.Sleep(crashTime + time.Second)
	}
	return int(broken.Load()), fmt.Sprintf("%d requests: %d answered whole, %d visibly cut, %d incomplete answers framed as complete",
		rounds*roundStreams, complete.Load(), cut.Load(), broken.Load())
}

func b2i(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
