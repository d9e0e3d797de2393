package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case with clients that stay idle. The limit of idle time is that of the configuration.
const (
	// descriptors are those for sockets of a machine with 4,100: 200 are reserved for files.
	descriptors = 3900
	// arrivals is the number of new users a second at one machine: twice its share of the site's 252 requests a second.
	arrivals = 56
	// arriving is how long users come.
	arriving = 88 * time.Second
	// contact is the time without a new connection that breaks the rule, and trying how many clients must try.
	contact = 4 * time.Second
	trying  = 7
	// polite is how long a client of the undisturbed run keeps an idle connection: four fifths of the limit.
	polite = 12 * time.Second
)

// idleConnections has users come one after another, each of which sends one look-up and leaves its connection open. With
// trouble they stay idle for longer than the operator's limit of 15 s; otherwise they leave within it. The rule is broken
// if for contact the machine says that it is ready and answers on no new connection while trying clients try.
func idleConnections(l *lab) (int, error) {
	const host, stock = "desk.example", "stock-app"
	l.store.write("op/config", configuration(7, []route{
		{Name: "r-stock", Host: host, Prefix: "/stock/", Kind: "idempotent", Timeout: 1000, Target: 200, Service: stock, Attempts: 2},
	}, stock))
	zones := []string{"kigali-a"}
	regions := map[string]string{"kigali-a": "kigali", "huye-a": "huye", "musanze-a": "musanze"}
	for i := range 3 {
		if _, err := startReplica(fmt.Sprintf("i-stock%d", i+1), stock, zones[0], l.store, l.record); err != nil {
			return couldNot, err
		}
	}
	l.descriptors = descriptors
	if err := l.startNodes(zones, regions); err != nil {
		return couldNot, err
	}
	n := l.nodes[0]
	var ready atomic.Bool
	stop := make(chan struct{})
	go l.probe(n, &ready, stop)
	var mu sync.Mutex
	var tried []time.Time
	longest, when, most := time.Duration(0), time.Duration(0), 0
	answered, failed := 0, 0
	lastAnswer, lastNotReady := time.Now(), time.Now()
	var users sync.WaitGroup
	begin := time.Now()
	tick := time.NewTicker(time.Second / arrivals)
	for time.Since(begin) < arriving {
		<-tick.C
		users.Go(func() {
			at := time.Now()
			conn, ok := l.look(n, host)
			mu.Lock()
			tried = append(tried, at)
			if ok {
				answered++
				lastAnswer = time.Now()
			} else {
				failed++
			}
			mu.Unlock()
			if conn == nil {
				return
			}
			defer conn.Close()
			if !l.trouble {
				select {
				case <-stop:
				case <-time.After(polite):
				}
				return
			}
			<-stop
		})
		mu.Lock()
		if !ready.Load() {
			lastNotReady = time.Now()
		}
		// Only the time counts for which the machine has said all the while that it is ready.
		since := lastAnswer
		if lastNotReady.After(since) {
			since = lastNotReady
		}
		if gap := time.Since(since); gap > longest {
			recent := 0
			for _, at := range tried {
				if at.After(since) {
					recent++
				}
			}
			longest, when, most = gap, time.Since(begin), recent
		}
		mu.Unlock()
	}
	close(stop)
	users.Wait()
	l.record.log("%d users answered, %d not; longest time without an answer on a new connection while ready: %s, at %s, with %d clients that tried", answered, failed,
		longest.Round(time.Millisecond), when.Round(time.Second), most)
	if answered < 1000 {
		return couldNot, fmt.Errorf("only %d users were answered", answered)
	}
	if longest >= contact && most >= trying {
		return broken, nil
	}
	return held, nil
}

// look opens a connection, sends one look-up with a deadline of one second and returns the connection if it is open, and
// whether an answer came.
func (l *lab) look(n *node, host string) (net.Conn, bool) {
	conn, err := net.DialTimeout("tcp", n.caller, time.Second)
	if err != nil {
		return nil, false
	}
	id := fmt.Sprintf("%016x", 0x5eed0000+lastRequest.Add(1))
	l.record.log("sent %s", id)
	conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	fmt.Fprintf(conn, "GET /stock/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1000\r\n\r\n", host, names.Request, id, names.Deadline)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		l.record.log("no answer to %s: %v", id, err)
		conn.Close()
		return nil, false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	l.record.log("answer to %s: %d", id, resp.StatusCode)
	return conn, err == nil
}

// probe asks once a second, on a connection that it keeps, whether the machine is ready.
func (l *lab) probe(n *node, ready *atomic.Bool, stop chan struct{}) {
	client := http.Client{Timeout: 900 * time.Millisecond}
	for {
		resp, err := client.Get("http://" + n.ready + "/readyz")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		ready.Store(ok)
		l.record.log("ready %t, %s", ok, strings.TrimSpace(n.memory()))
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}
