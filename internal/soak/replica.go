package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"rhubarbpoint/internal/faultproxy"
	"rhubarbpoint/platform"
	"rhubarbpoint/upstream"
)

const (
	// streamEvents and streamPause make a stream of half a second.
	streamEvents = 10
	streamPause  = 50 * time.Millisecond
	// workTime is the time of other requests.
	workTime = 10 * time.Millisecond
	// switchTime is how long a model replica is away for a change of its stage.
	switchTime = 500 * time.Millisecond
)

// misbehaviour is what a replica does wrong.
type misbehaviour int

const (
	well misbehaviour = iota
	refuses
	losesAnswers
	truncates
	addsBytes
	slow
)

// replica is one start of a replica in this process.
type replica struct {
	site   *site
	link   *faultproxy.Link
	server *http.Server

	mu       sync.Mutex
	entry    upstream.Replica
	sequence int64
	busy     bool
	wrong    misbehaviour
}

// startReplica serves a service and lists it.
func (s *site) startReplica(id, service string, stage upstream.Stage) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{site: s, entry: upstream.Replica{
		ID: id, Born: time.Now().UnixMilli(), Service: service, Zone: zoneName, Slots: 64, Stage: stage,
	}}
	if r.link, err = faultproxy.New(l.Addr().String()); err != nil {
		return nil, err
	}
	r.entry.Address = r.link.Address()
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle)}
	go r.server.Serve(l)
	r.list()
	return r, nil
}

// list writes the replica's entry.
func (r *replica) list() {
	r.mu.Lock()
	key, value := platform.EncodeReplica(&r.entry)
	r.mu.Unlock()
	r.site.operator.put(key, value)
}

// crash ends the replica with all its connections.
func (r *replica) crash() {
	r.link.Close()
	r.server.Close()
}

func (r *replica) set(wrong misbehaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrong = wrong
}

func (r *replica) handle(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	switch req.URL.Path {
	case platform.PathReport:
		r.report(w)
		return
	case platform.PathOrder:
		r.order(w, body)
		return
	}
	r.mu.Lock()
	id, stage, wrong := r.entry.ID, r.entry.Stage, r.wrong
	away := r.busy
	r.mu.Unlock()
	if expected := req.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	request := req.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, request)
	w.Header().Set(platform.HeaderSignature, id)
	promptOnly := req.Header.Get(platform.HeaderStage) == "prefill"
	if wrong == refuses || away || promptOnly != (stage == upstream.Prefill) {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if promptOnly {
		w.Write(platform.EncodeCacheHandle(r.site.ledger.handle(request), 1))
		return
	}
	if source := req.Header.Get(platform.HeaderKVSource); source != "" && !r.site.ledger.takeHandle(source[strings.LastIndexByte(source, '/')+1:], request) {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.run(w, req, request, wrong)
}

// run executes a request and answers it, in the way that the replica misbehaves.
func (r *replica) run(w http.ResponseWriter, req *http.Request, request string, wrong misbehaviour) {
	kind := kindOf(req.URL.Path)
	r.site.ledger.run(request, kind == pathOrder)
	if wrong == slow {
		time.Sleep(20 * workTime)
	}
	if wrong == losesAnswers {
		panic(http.ErrAbortHandler)
	}
	if kind == pathOrder || kind == pathLook {
		time.Sleep(workTime)
		text := whole(request)
		if wrong == addsBytes {
			r.addBytes(w, request, text)
			return
		}
		if wrong == truncates {
			w.Header().Set("Content-Length", fmt.Sprint(len(text)))
			io.WriteString(w, text[:len(text)/2])
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, text)
	} else {
		control := http.NewResponseController(w)
		for event := 1; event <= streamEvents; event++ {
			if wrong == truncates && event == streamEvents/2 {
				panic(http.ErrAbortHandler)
			}
			io.WriteString(w, streamEvent(event, request))
			if control.Flush() != nil {
				return
			}
			time.Sleep(streamPause)
		}
	}
	r.site.ledger.answer(request)
}

// addBytes gives a whole answer and, where the next one is expected, another that belongs to no request.
func (r *replica) addBytes(w http.ResponseWriter, request, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	write := func(request, text string) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Length: %d\r\n\r\n%s", platform.HeaderRequestID, request,
			platform.HeaderSignature, len(text), text)
	}
	write(request, text)
	r.site.ledger.answer(request)
	time.Sleep(2 * workTime)
	write("other", "wrong")
	time.Sleep(longestFault)
}

// whole is the answer to a request that is no stream.
func whole(request string) string { return "done: " + request + strings.Repeat(".", 200) }

// streamEvent is one event of a stream.
func streamEvent(n int, request string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, request)
}

func wholeStream(request string) string {
	text := ""
	for event := 1; event <= streamEvents; event++ {
		text += streamEvent(event, request)
	}
	return text
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Write(platform.EncodeReport(&platform.Report{Stage: r.entry.Stage, Busy: r.busy, Sequence: r.sequence, Born: r.entry.Born}))
}

// order takes an order for a stage, as replicas do that check only the sequence.
func (r *replica) order(w http.ResponseWriter, body []byte) {
	o, err := platform.DecodeOrder(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.site.ledger.order(o)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || o.Sequence != r.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.sequence++
	r.busy = true
	time.AfterFunc(switchTime, func() {
		r.mu.Lock()
		r.busy, r.entry.Stage = false, o.Stage
		r.mu.Unlock()
		r.list()
	})
	w.WriteHeader(http.StatusAccepted)
}
