package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"rhubarbpoint/internal/endless"
	"rhubarbpoint/internal/faultproxy"
	"rhubarbpoint/platform"
	"rhubarbpoint/upstream"
)

const (
	// streamPause gives a stream a duration of half a second.
	streamPause = 50 * time.Millisecond
	// workTime is the execution time of other requests.
	workTime = 10 * time.Millisecond
	// switchTime is how long a model replica refuses requests while it changes its stage.
	switchTime = 500 * time.Millisecond
)

// replicaFault is a fault injected into a replica.
type replicaFault int

const (
	noFault replicaFault = iota
	refuseRequests
	loseResponses
	truncateResponses
	failRequests
	omitLengths
	sendExtraResponses
	slowResponses
	sendEndlessHeads
	sendEndlessBodies
	breakStreams
)

// replica is one incarnation of a replica, which runs in this process.
type replica struct {
	cluster *cluster
	link    *faultproxy.Link
	server  *http.Server
	conns   *connTracker
	crashed sync.Once // by a request with crashingSegment
	demands *demands

	mu            sync.Mutex
	entry         upstream.Replica
	sequence      int64
	changingStage bool
	fault         replicaFault
	// open are the requests whose responses are under way and have no length.
	open map[string]bool
	// restarting is set until the connections of the process that ends are closed.
	restarting bool
}

// startReplica starts a replica of a service and writes its entry to the store.
func (c *cluster) startReplica(id, service, version string, stage upstream.Stage) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{cluster: c, open: make(map[string]bool), demands: newDemands(c.recorder), entry: upstream.Replica{
		ID: id, Born: time.Now().UnixMilli(), Service: service, Zone: zoneName, Slots: 64, Stage: stage, Version: version,
	}}
	if r.link, err = faultproxy.New(l.Addr().String()); err != nil {
		return nil, err
	}
	r.entry.Address = r.link.Address()
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle)}
	r.conns = &connTracker{Listener: l}
	go r.server.Serve(r.conns)
	r.writeEntry()
	c.timeline.Info("replica starts", "replica", id, "address", r.entry.Address, "version", version)
	return r, nil
}

// writeEntry writes the replica's entry to the store.
func (r *replica) writeEntry() {
	r.mu.Lock()
	key, value := platform.EncodeReplica(&r.entry)
	r.mu.Unlock()
	r.cluster.writer.put(key, value)
}

// crash ends the replica and all its connections.
func (r *replica) crash() {
	r.link.Close()
	r.server.Close()
}

func (r *replica) setFault(fault replicaFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

func (r *replica) handle(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	switch req.URL.Path {
	case platform.PathReport:
		r.handleReport(w)
		return
	case platform.PathOrder:
		r.handleOrder(w, body)
		return
	}
	r.cluster.recorder.checkWorkspace(req)
	if hasCrashingSegment(req) {
		r.cluster.recorder.increment(&r.cluster.recorder.counts.SegmentArrivals)
	}
	r.mu.Lock()
	id, stage, fault, software := r.entry.ID, r.entry.Stage, r.fault, r.entry.Version
	changingStage := r.changingStage
	r.mu.Unlock()
	request := req.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, request)
	if expected := req.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(platform.HeaderSignature, id)
	prefillOnly := req.Header.Get(platform.HeaderStage) == "prefill"
	if r.demands.arrive(request, w.Header()) || fault == refuseRequests || changingStage || prefillOnly != (stage == upstream.Prefill) {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if prefillOnly {
		w.Write(platform.EncodeCacheHandle(r.cluster.recorder.newHandle(request), 1))
		return
	}
	if source := req.Header.Get(platform.HeaderKVSource); source != "" &&
		!r.cluster.recorder.takeHandle(source[strings.LastIndexByte(source, '/')+1:], request) {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.execute(w, req, request, software, fault)
}

// execute executes a request and responds to it, with the given fault.
func (r *replica) execute(w http.ResponseWriter, req *http.Request, request, software string, fault replicaFault) {
	kind := kindOf(req.URL.Path)
	r.cluster.recorder.recordExecution(request, kind == pathOrder)
	if hasCrashingSegment(req) {
		r.crashUnder()
		panic(http.ErrAbortHandler)
	}
	if fault == slowResponses {
		time.Sleep(20 * workTime)
	}
	switch fault {
	case loseResponses:
		panic(http.ErrAbortHandler)
	case failRequests:
		if rand.IntN(2) == 0 {
			http.Error(w, "internal error\n", http.StatusInternalServerError)
			return
		}
	case sendEndlessHeads:
		respondEndlessly(w, "HTTP/1.1 200 OK\r\n", "Name: value\r\n")
		return
	case sendEndlessBodies:
		respondEndlessly(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\n\r\n", platform.HeaderRequestID, request, platform.HeaderSignature), "x")
		return
	}
	breaksOff := false
	if fault == omitLengths {
		w.Header().Set("Transfer-Encoding", "identity")
		breaksOff = rand.IntN(2) == 0
	}
	if kind == pathOrder || kind == pathLook {
		time.Sleep(workTime)
		text := responseText(request)
		if fault == sendExtraResponses {
			r.sendExtraResponse(w, request, text)
			return
		}
		if fault == truncateResponses {
			w.Header().Set("Content-Length", fmt.Sprint(len(text)))
			io.WriteString(w, text[:len(text)/2])
			panic(http.ErrAbortHandler)
		}
		if breaksOff {
			io.WriteString(w, text[:len(text)/2])
			reset(w)
			return
		}
		io.WriteString(w, text)
	} else {
		r.stream(w, req, software, fault, breaksOff)
		return
	}
	r.cluster.recorder.recordResponse(request)
}

// reset resets the connection of a response after what was written of it.
func reset(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	conn, _, err := control.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// respondEndlessly sends prefix and then repeats block until the instance closes the connection.
func respondEndlessly(w http.ResponseWriter, prefix, block string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	endless.Respond(conn, prefix, block)
}

// sendExtraResponse sends a complete response and after it, where the connection's next response is expected, another
// one that belongs to no request: a success, or a refusal that does not say which request it is for.
func (r *replica) sendExtraResponse(w http.ResponseWriter, request, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	writeResponse(conn, request, text)
	r.cluster.recorder.recordResponse(request)
	if rand.IntN(2) == 0 {
		time.Sleep(2 * workTime)
		writeResponse(conn, "other", "wrong")
		time.Sleep(longestFault)
		return
	}
	r.answerNext(conn)
}

// answerNext reads the next request of a connection and runs it, but writes a refusal before its response.
func (r *replica) answerNext(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(longestFault))
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id, kind := req.Header.Get(platform.HeaderRequestID), kindOf(req.URL.Path)
	if kind != pathOrder && kind != pathLook || req.Header.Get(platform.HeaderExpectInstance) != r.entry.ID {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", platform.HeaderNotRun)
	r.cluster.recorder.recordExecution(id, kind == pathOrder)
	time.Sleep(workTime)
	writeResponse(conn, id, responseText(id))
	r.cluster.recorder.recordResponse(id)
}

// writeResponse writes a complete response to a request.
func writeResponse(conn net.Conn, request, text string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Length: %d\r\n\r\n%s", platform.HeaderRequestID, request,
		platform.HeaderSignature, len(text), text)
}

// responseText is the body of a response that is not a stream.
func responseText(request string) string {
	length := 200
	if strings.Contains(request, slowMark) {
		length = slowBytes
	}
	return "done: " + request + strings.Repeat(".", length)
}

func (r *replica) handleReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Write(platform.EncodeReport(&platform.Report{Stage: r.entry.Stage, Busy: r.changingStage, Sequence: r.sequence, Born: r.entry.Born}))
}

// handleOrder accepts an order that changes the stage. Like real replicas that check only the sequence, it does not
// check the fencing token.
func (r *replica) handleOrder(w http.ResponseWriter, body []byte) {
	o, err := platform.DecodeOrder(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.cluster.recorder.recordOrder(o)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changingStage || o.Sequence != r.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.sequence++
	r.changingStage = true
	time.AfterFunc(switchTime, func() {
		r.mu.Lock()
		r.changingStage, r.entry.Stage = false, o.Stage
		r.mu.Unlock()
		r.writeEntry()
	})
	w.WriteHeader(http.StatusAccepted)
}
