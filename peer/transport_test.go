package peer_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"rhubarbpoint/internal/fakenet"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
)

// sessionReplacedWithin is the detection time of the design page, section 5.7.
const sessionReplacedWithin = 5 * time.Second

func start(n *fakenet.Network, id string, handle func(*peer.Transport)) *peer.Transport {
	t := peer.New(peer.Options{
		Self: id, Address: func(instance string) (string, bool) { return instance, true }, Dial: n.Dialer(id),
	})
	if handle != nil {
		handle(t)
	}
	go t.Serve(n.Listen(id))
	return t
}

// virtual runs a test in virtual time. yamux keeps timers in a sync.Pool of the process, and a timer of one bubble must
// not be used in another; two collections empty every pool.
func virtual(t *testing.T, run func(*testing.T)) {
	emptyPools()
	synctest.Test(t, run)
}

func emptyPools() {
	runtime.GC()
	runtime.GC()
}

func echo(t *peer.Transport) {
	t.Handle(peer.KindFetchConfig, func(_ context.Context, from string, req *peerpb.Request) (*peerpb.Response, error) {
		return config(req.GetFetchConfig().GetHaveVersion(), from), nil
	})
}

func config(version int64, document string) *peerpb.Response {
	return &peerpb.Response{Result: &peerpb.Response_Config{Config: &peerpb.ConfigDocument{
		Version: version, Document: []byte(document),
	}}}
}

func fetch(version int64) *peerpb.Request {
	return &peerpb.Request{Call: &peerpb.Request_FetchConfig{FetchConfig: &peerpb.FetchConfig{HaveVersion: version}}}
}

func shutdown(transports ...*peer.Transport) {
	for _, t := range transports {
		t.Shutdown(context.Background())
	}
}

// Guards against sessions that stay in use after the network silently dropped them, and against calls on them that
// claim not to have been sent. The connection goes silent before the call, or while the call is being served.
func TestSilentSessionIsReplaced(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 1900 * time.Millisecond} {
		virtual(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := fakenet.New()
			a := start(n, "a", nil)
			b := start(n, "b", func(t *peer.Transport) {
				t.Handle(peer.KindFetchConfig, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
					time.Sleep(after)
					time.Sleep(after)
					return nil, nil
				})
			})
			defer shutdown(a, b)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := a.Call(ctx, "b", fetch(1))
			g.Expect(err).NotTo(gomega.HaveOccurred())

			began := time.Now().Add(after)
			time.AfterFunc(after, func() { n.Silence(func(string, string) bool { return true }) })
			if after == 0 {
				synctest.Wait()
			}
			_, err = a.Call(ctx, "b", fetch(2))
			g.Expect(errors.Is(err, peer.ErrNoResponse)).To(gomega.BeTrue(), "%v", err)
			g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeFalse())
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", sessionReplacedWithin))
			g.Expect(a.Connected()).To(gomega.BeEmpty())
			_, err = a.Call(ctx, "b", fetch(3))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
}

// Guards against calls reported as not sent although the peer executed them, and the reverse, on a network whose
// connections go silent at any write.
func TestReportedOutcomeIsTrue(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		var mu sync.Mutex
		executed, random := make(map[int64]bool), rand.New(rand.NewPCG(1, 2))
		n.SetFault(func(string, string) bool {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(17) == 0
		})
		a := start(n, "a", nil)
		b := start(n, "b", func(t *peer.Transport) {
			t.Handle(peer.KindFetchConfig, func(_ context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
				mu.Lock()
				defer mu.Unlock()
				executed[req.GetFetchConfig().GetHaveVersion()] = true
				return nil, nil
			})
		})
		defer shutdown(a, b)
		notSent, answered := make(map[int64]bool), make(map[int64]bool)
		for i := range int64(200) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%7)*time.Second)
			_, err := a.Call(ctx, "b", fetch(i))
			cancel()
			switch {
			case err == nil:
				answered[i] = true
			case errors.Is(err, peer.ErrNotSent):
				notSent[i] = true
			default:
				g.Expect(errors.Is(err, peer.ErrNoResponse)).To(gomega.BeTrue(), "%v", err)
			}
		}
		time.Sleep(time.Minute) // delayed frames arrive
		mu.Lock()
		defer mu.Unlock()
		g.Expect(len(answered)).To(gomega.BeNumerically(">", 50))
		for i := range int64(200) {
			g.Expect(notSent[i] && executed[i]).To(gomega.BeFalse(), "call %d", i)
			g.Expect(answered[i] && !executed[i]).To(gomega.BeFalse(), "call %d", i)
		}
	})
}

// Guards against two sessions for one pair when both sides dial at once.
func TestOneSessionForEachPair(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		a, b := start(n, "a", echo), start(n, "b", echo)
		defer shutdown(a, b)
		for range 3 {
			var calls sync.WaitGroup
			calls.Go(func() { a.Call(t.Context(), "b", fetch(1)) })
			calls.Go(func() { b.Call(t.Context(), "a", fetch(1)) })
			calls.Wait()
		}
		time.Sleep(10 * time.Second)
		n.Silence(func(x, y string) bool { return x == "a" && y == "b" })
		dials := n.Dials()
		g.Expect(dials).To(gomega.BeNumerically("<=", 2))
		_, _ = a.Call(t.Context(), "b", fetch(1))
		_, err := b.Call(t.Context(), "a", fetch(1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n.Dials() - dials).To(gomega.BeNumerically("<=", 2))
		g.Expect(a.Connected()).To(gomega.ConsistOf("b"))
		g.Expect(b.Connected()).To(gomega.ConsistOf("a"))
	})
}

// Guards against unused sessions that cost keepalive traffic for ever.
func TestIdleSessionIsClosed(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		a, b := start(n, "a", nil), start(n, "b", echo)
		defer shutdown(a, b)
		_, err := a.Call(t.Context(), "b", fetch(1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Minute)
		g.Expect(a.Connected()).To(gomega.BeEmpty())
		g.Expect(b.Connected()).To(gomega.BeEmpty())
		_, err = a.Call(t.Context(), "b", fetch(1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

// Guards against calls counted as perhaps executed that certainly were not.
func TestCallsNotSent(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		addresses := map[string]string{"b": "b", "old-b": "b", "gone": "gone"}
		a := peer.New(peer.Options{Self: "a", Dial: n.Dialer("a"), Address: func(id string) (string, bool) {
			address, ok := addresses[id]
			return address, ok
		}})
		b := start(n, "b", echo)
		defer shutdown(b)
		_, err := a.Call(t.Context(), "unknown", fetch(1))
		g.Expect(errors.Is(err, peer.ErrNotSent) && errors.Is(err, peer.ErrUnknownInstance)).To(gomega.BeTrue())
		_, err = a.Call(t.Context(), "gone", fetch(1))
		g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeTrue(), "refused: %v", err)
		_, err = a.Call(t.Context(), "old-b", fetch(1))
		g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeTrue(), "successor at the address: %v", err)
		var remote *peer.RemoteError
		g.Expect(errors.As(err, &remote)).To(gomega.BeTrue())
		g.Expect(remote.Code).To(gomega.Equal(peer.CodeWrongInstance))
		_, err = a.Call(t.Context(), "b", &peerpb.Request{Call: &peerpb.Request_Claim{}})
		g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeTrue(), "no handler: %v", err)
		_, err = a.Call(t.Context(), "b", &peerpb.Request{Call: &peerpb.Request_AwaitOutcome{
			AwaitOutcome: &peerpb.AwaitOutcome{Key: make([]byte, peer.MaxFrameBytes)}}})
		g.Expect(errors.Is(err, peer.ErrNotSent) && errors.Is(err, peer.ErrTooLarge)).To(gomega.BeTrue(), "%v", err)
		n.Partition(func(x, y string) bool { return y == "gone" })
		began := time.Now()
		_, err = a.Call(t.Context(), "gone", fetch(1))
		g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeTrue(), "unreachable: %v", err)
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", sessionReplacedWithin))
		shutdown(a)
		_, err = a.Call(t.Context(), "b", fetch(1))
		g.Expect(errors.Is(err, peer.ErrNotSent) && errors.Is(err, peer.ErrClosed)).To(gomega.BeTrue())
	})
}

// Guards against a server that one faulty peer can stop, block or crash.
func TestServerSurvivesFaultyPeers(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		b := start(n, "b", func(t *peer.Transport) {
			echo(t)
			t.Handle(peer.KindClaim, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
				panic("test")
			})
			t.Handle(peer.KindRegisterFence, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
				return nil, &peer.RemoteError{Code: "stale_fence", Message: "m\xff"}
			})
			t.Handle(peer.KindForwardOrder, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
				return config(1, strings.Repeat("x", peer.MaxFrameBytes)), nil
			})
		})
		a := start(n, "a", nil)
		defer shutdown(a, b)

		silent, err := n.Dialer("silent")(t.Context(), "b")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer silent.Close()
		garbage, err := n.Dialer("garbage")(t.Context(), "b")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = garbage.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\n", 4)))
		defer garbage.Close()

		conn, err := n.Dialer("raw")(t.Context(), "b")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		raw, err := yamux.Client(conn, config)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer raw.Close()
		for data, code := range map[string]string{
			"\x05hello":                peer.CodeBadFrame,      // no valid message
			"\xff\xff\xff\x7fabc":      peer.CodeFrameTooLarge, // 256 MB announced
			strings.Repeat("\xff", 12): peer.CodeBadFrame,      // endless length prefix
			"\x10\x0a":                 peer.CodeBadFrame,      // the rest never comes
			"":                         peer.CodeBadFrame,      // nothing comes
			"\x00":                     peer.CodeUnknownCall,   // a message without call
		} {
			stream, err := raw.Open()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = stream.Write([]byte(data))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(answer(g, stream).GetError().GetCode()).To(gomega.Equal(code), "%q", data)
			stream.Close()
		}
		for code, req := range map[string]*peerpb.Request{
			peer.CodeInternal:         {Call: &peerpb.Request_Claim{}},
			"stale_fence":             {Call: &peerpb.Request_RegisterFence{}},
			peer.CodeResponseTooLarge: {Call: &peerpb.Request_ForwardOrder{}},
		} {
			_, err := a.Call(t.Context(), "b", req)
			var remote *peer.RemoteError
			g.Expect(errors.As(err, &remote)).To(gomega.BeTrue(), "%v", err)
			g.Expect(remote.Code).To(gomega.Equal(code))
			g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeFalse())
		}
		_, err = a.Call(t.Context(), "b", fetch(1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

func answer(g *gomega.WithT, stream net.Conn) *peerpb.Response {
	reader := &byteReader{stream}
	resp := &peerpb.Response{}
	g.Expect(protodelim.UnmarshalFrom(reader, resp)).To(gomega.Succeed())
	return resp
}

type byteReader struct{ io.Reader }

func (r *byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

// Guards against an unbounded number of calls at work, and against refused calls that look as if they had been run.
func TestInboundCallsAreBounded(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		release := make(chan struct{})
		b := start(n, "b", func(t *peer.Transport) {
			t.Handle(peer.KindFetchConfig, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
				<-release
				return nil, nil
			})
		})
		defer shutdown(b)
		const callers, each = 12, 100 // more than the 1,024 calls that are served at once
		var mu sync.Mutex
		var wait sync.WaitGroup
		refused := 0
		for i := range callers {
			a := start(n, "a"+strconv.Itoa(i), nil)
			defer shutdown(a)
			for range each {
				wait.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					_, err := a.Call(ctx, "b", fetch(1))
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeTrue(), "%v", err)
						refused++
					}
				})
			}
		}
		time.Sleep(time.Second)
		close(release)
		wait.Wait()
		g.Expect(refused).To(gomega.Equal(callers*each - 1024))
	})
}

// Guards against a planned stop that cuts off calls being served.
func TestShutdownFinishesCalls(t *testing.T) {
	virtual(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		b := start(n, "b", func(t *peer.Transport) {
			t.Handle(peer.KindFetchConfig, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
				time.Sleep(2 * time.Second)
				return config(7, ""), nil
			})
		})
		a := start(n, "a", nil)
		defer shutdown(a)
		var wait sync.WaitGroup
		wait.Go(func() {
			resp, err := a.Call(t.Context(), "b", fetch(1))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.GetConfig().GetVersion()).To(gomega.Equal(int64(7)))
		})
		time.Sleep(time.Second)
		g.Expect(b.Shutdown(t.Context())).To(gomega.Succeed())
		wait.Wait()
		_, err := a.Call(t.Context(), "b", fetch(1))
		g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeTrue(), "%v", err)
	})
}

// Guards against frames of the largest size that do not pass, over real sockets.
func TestLargestFrameOverTCP(t *testing.T) {
	g := gomega.NewWithT(t)
	emptyPools()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	document := strings.Repeat("x", peer.MaxFrameBytes-64)
	b := peer.New(peer.Options{Self: "b"})
	b.Handle(peer.KindFetchConfig, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
		return config(1, document), nil
	})
	go b.Serve(l)
	a := peer.New(peer.Options{Self: "a"})
	defer shutdown(a, b)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	resp, err := a.CallAddress(ctx, l.Addr().String(), fetch(1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(proto.Size(resp)).To(gomega.BeNumerically(">", peer.MaxFrameBytes-64))
	g.Expect(string(resp.GetConfig().GetDocument()) == document).To(gomega.BeTrue())
}
