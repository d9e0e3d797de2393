package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/engine/httpengine"
	"rhubarbpoint/entry"
	"rhubarbpoint/internal/pipenet"
	standin "rhubarbpoint/internal/standin/engine"
	"rhubarbpoint/internal/standin/orders"
)

const (
	entryAddr     = "10.0.0.1:80"
	key           = "secret"
	keySHA256     = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	tokenInterval = 20 * time.Millisecond
)

// fleet is one instance with stand-in engines and services, on a simulated network in virtual time.
type fleet struct {
	gomega.Gomega
	net        *pipenet.Network
	doc        *config.Document // at the start
	current    atomic.Pointer[config.Document]
	opts       entry.Options
	httpServer *entry.HTTPServer
	server     *entry.Server
	served     chan error
	client     *http.Client
	standins   sync.Map // engine ID to *standin.Engine
	crashes    sync.Map // engine ID to bool
}

// inFleet runs a test in a synctest bubble with n engines and two replicas of the order service. change, if set, can
// modify the options before the instance starts.
func inFleet(t *testing.T, n int, change func(f *fleet), test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{Gomega: gomega.NewWithT(t), net: pipenet.New(), served: make(chan error, 1)}
		defer f.stop()
		f.doc = document(n)
		f.current.Store(f.doc)
		f.opts = entry.Options{
			Engines:  httpengine.NewWithDial(f.net.Dial),
			Document: f.current.Load, Dial: f.net.Dial,
		}
		if change != nil {
			change(f)
		}
		for _, e := range f.doc.Models.Engines {
			f.startEngine(e, standin.Options{ID: e.ID, Step: tokenInterval})
		}
		f.server = entry.NewServer(f.opts)
		f.httpServer = entry.NewHTTPServer(f.server)
		listener := f.net.Listen(entryAddr)
		go func() { f.served <- f.httpServer.Serve(listener) }()
		f.client = &http.Client{Transport: &http.Transport{DialContext: f.net.Dial, DisableKeepAlives: true}}
		test(f)
	})
}

func document(n int) *config.Document {
	doc := &config.Document{
		Models:  config.Models{Models: []config.Model{{Name: "small", Version: "v1"}}},
		Callers: config.Callers{Workspaces: []config.Workspace{{Name: "shop", KeySHA256: keySHA256}}},
		Orders: config.Orders{Services: []config.Service{{
			Name: "shop",
			Routes: []config.Route{
				{Method: "GET", Path: "/stock/", Idempotent: true}, {Method: "POST", Path: "/bookings"},
			},
			Upstreams: []config.Upstream{{ID: "o1", Address: "10.2.0.1:80"}, {ID: "o2", Address: "10.2.0.2:80"}},
		}}},
	}
	for i := range n {
		id := fmt.Sprint("e", i+1)
		doc.Models.Engines = append(doc.Models.Engines, config.Engine{ID: id, Address: fmt.Sprintf("10.1.0.%d:80", i+1)})
	}
	return doc
}

// startEngine starts an engine, possibly in place of one that crashed. A crash breaks its connections.
func (f *fleet) startEngine(e config.Engine, opts standin.Options) {
	opts.Crash = func() {
		f.crashes.Store(e.ID, true)
		f.net.Kill(e.Address)
	}
	s := standin.New(opts)
	f.standins.Store(e.ID, s)
	go s.Server().Serve(f.net.Listen(e.Address))
}

func (f *fleet) startOrderReplicas() []*orders.Service {
	var all []*orders.Service
	for _, u := range f.doc.Orders.Services[0].Upstreams {
		s := orders.New(u.ID)
		all = append(all, s)
		go (&http.Server{Handler: s.Handler()}).Serve(f.net.Listen(u.Address))
	}
	return all
}

func (f *fleet) engine(id string) *standin.Engine {
	e, _ := f.standins.Load(id)
	return e.(*standin.Engine)
}

// stop ends all connections and waits for background tasks, so that no goroutine remains in the bubble.
func (f *fleet) stop() {
	f.net.Close()
	if f.server != nil {
		f.server.Wait()
	}
	time.Sleep(time.Minute)
}

// reply is a response as the caller sees it.
type reply struct {
	status       int
	header       http.Header
	text         string
	finishReason string
	usage        json.RawMessage
	code         string // of an error
	run          string
	done         bool // [DONE] was received
	longestGap,
	took time.Duration
}

// content is the part of a response body or event that the tests check.
type content struct {
	Choices []struct {
		Message, Delta struct{ Content string }
		FinishReason   *string `json:"finish_reason"`
	}
	Usage json.RawMessage
	Error struct{ Code, Run string }
}

func (r *reply) add(data []byte) {
	var c content
	json.Unmarshal(data, &c)
	for _, choice := range c.Choices {
		r.text += choice.Message.Content + choice.Delta.Content
		if choice.FinishReason != nil {
			r.finishReason = *choice.FinishReason
		}
	}
	if c.Usage != nil {
		r.usage = c.Usage
	}
	r.code, r.run = c.Error.Code, c.Error.Run
}

// chat requests a chat completion and reads the complete response.
func (f *fleet) chat(stream bool, message string, maxTokens int, headers ...string) *reply {
	body := fmt.Sprintf(`{"model":"small","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t,
		"stream_options":{"include_usage":true}}`, message, maxTokens, stream)
	return f.do("POST", "/v1/chat/completions", strings.NewReader(body), headers...)
}

func (f *fleet) do(method, path string, body io.Reader, headers ...string) *reply {
	req, err := http.NewRequest(method, "http://"+entryAddr+path, body)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	started := time.Now()
	resp, err := f.client.Do(req)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	r := &reply{status: resp.StatusCode, header: resp.Header}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		r.readEvents(resp.Body, started)
	} else {
		data, err := io.ReadAll(resp.Body)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		r.add(data)
		if len(r.text) == 0 {
			r.text = string(data)
		}
	}
	r.took = time.Since(started)
	return r
}

func (r *reply) readEvents(body io.Reader, last time.Time) {
	for lines := bufio.NewScanner(body); lines.Scan(); {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		r.longestGap, last = max(r.longestGap, time.Since(last)), time.Now()
		if r.done = data == "[DONE]"; !r.done {
			r.add([]byte(data))
		}
	}
}

// expectedCompletion returns the only correct completion for a message.
func expectedCompletion(message string, maxTokens int) string {
	return strings.Join(standin.Output(&engine.Request{
		Model: "small", Version: "v1", MaxTokens: maxTokens, Messages: []engine.Message{{Role: "user", Content: message}},
	}), "")
}

func (f *fleet) expectComplete(r *reply, message string, maxTokens int) {
	f.Expect(r.status).To(gomega.Equal(http.StatusOK), r.text)
	f.Expect(r.text).To(gomega.Equal(expectedCompletion(message, maxTokens)))
	f.Expect(r.finishReason).To(gomega.Equal("length"))
	f.Expect(r.usage).To(gomega.ContainSubstring(fmt.Sprintf(`"completion_tokens":%d`, maxTokens)))
}

// drain stops the instance as SIGTERM does.
func (f *fleet) drain(delay time.Duration) {
	f.Expect(f.httpServer.Drain(delay, time.Hour)).To(gomega.Succeed())
	f.Expect(<-f.served).To(gomega.Succeed())
}

func (f *fleet) stopEngine(ctx context.Context, id, addr string) error {
	server := &http.Server{}
	err := f.engine(id).Stop(ctx, server)
	f.net.Kill(addr)
	return err
}

func (f *fleet) context() context.Context { return context.Background() }
