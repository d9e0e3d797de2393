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

// sessionReplacedWithin is the detection time that section 5.7 of the design document requires.
const sessionReplacedWithin = 5 * time.Second

func startTransport(n *fakenet.Network, id string, register func(*peer.Transport)) *peer.Transport {
	t := peer.New(peer.Options{
		Self: id, Address: func(instance string) (string, bool) { return instance, true }, Dial: n.Dialer(id),
	})
	if register != nil {
		register(t)
	}
	go t.Serve(n.Listen(id))
	return t
}

// runInVirtualTime runs a test in virtual time. yamux keeps timers in a sync.Pool of the process, and a timer of one
// bubble must not be used in another; two garbage collections empty every pool.
func runInVirtualTime(t *testing.T, run func(*testing.T)) {
	emptyPools()
	synctest.Test(t, run)
}

func emptyPools() {
	runtime.GC()
	runtime.GC()
}

func registerEcho(t *peer.Transport) {
	t.Handle(peer.KindFetchConfig, func(_ context.Context, from string, req *peerpb.Request) (*peerpb.Response, error) {
		return configResponse(req.GetFetchConfig().GetHaveVersion(), from), nil
	})
}

func configResponse(version int64, document string) *peerpb.Response {
	return &peerpb.Response{Result: &peerpb.Response_Config{Config: &peerpb.ConfigDocument{
		Version: version, Document: []byte(document),
	}}}
}

func fetchRequest(version int64) *peerpb.Request {
	return &peerpb.Request{Call: &peerpb.Request_FetchConfig{FetchConfig: &peerpb.FetchConfig{HaveVersion: version}}}
}

func shutdown(transports ...*peer.Transport) {
	for _, t := range transports {
		t.Shutdown(context.Background())
	}
}

// Guards against sessions that stay in use after the network has silently dropped them, and against calls on them that
// are reported as not sent. The connection goes silent before the call, or while the call is being served.
func TestSilentSessionIsReplaced(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 1900 * time.Millisecond} {
		runInVirtualTime(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := fakenet.New()
			a := startTransport(n, "a", nil)
			b := startTransport(n, "b", func(t *peer.Transport) {
				t.Handle(peer.KindFetchConfig, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
					time.Sleep(after)
					time.Sleep(after)
					return nil, nil
				})
			})
			defer shutdown(a, b)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := a.Call(ctx, "b", fetchRequest(1))
			g.Expect(err).NotTo(gomega.HaveOccurred())

			startedAt := time.Now().Add(after)
			time.AfterFunc(after, func() { n.Silence(func(string, string) bool { return true }) })
			if after == 0 {
				synctest.Wait()
			}
			_, err = a.Call(ctx, "b", fetchRequest(2))
			g.Expect(errors.Is(err, peer.ErrNoResponse)).To(gomega.BeTrue(), "%v", err)
			g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeFalse())
			g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<=", sessionReplacedWithin))
			g.Expect(a.Connected()).To(gomega.BeEmpty())
			_, err = a.Call(ctx, "b", fetchRequest(3))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
}

// Guards against calls that are reported as not sent although the peer executed them, or as executed although it did
// not, on a network whose connections go silent at any write.
func TestErrorsTellWhetherCallWasExecuted(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		var mu sync.Mutex
		executed, random := make(map[int64]bool), rand.New(rand.NewPCG(1, 2))
		n.SetFault(func(string, string) bool {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(17) == 0
		})
		a := startTransport(n, "a", nil)
		b := startTransport(n, "b", func(t *peer.Transport) {
			t.Handle(peer.KindFetchConfig, func(_ context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
				mu.Lock()
				defer mu.Unlock()
				executed[req.GetFetchConfig().GetHaveVersion()] = true
				return nil, nil
			})
		})
		defer shutdown(a, b)
		notSent, responded := make(map[int64]bool), make(map[int64]bool)
		for i := range int64(200) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%7)*time.Second)
			_, err := a.Call(ctx, "b", fetchRequest(i))
			cancel()
			switch {
			case err == nil:
				responded[i] = true
			case errors.Is(err, peer.ErrNotSent):
				notSent[i] = true
			default:
				g.Expect(errors.Is(err, peer.ErrNoResponse)).To(gomega.BeTrue(), "%v", err)
			}
		}
		time.Sleep(time.Minute) // until delayed frames have arrived
		mu.Lock()
		defer mu.Unlock()
		g.Expect(len(responded)).To(gomega.BeNumerically(">", 50))
		for i := range int64(200) {
			g.Expect(notSent[i] && executed[i]).To(gomega.BeFalse(), "call %d", i)
			g.Expect(responded[i] && !executed[i]).To(gomega.BeFalse(), "call %d", i)
		}
	})
}

// Guards against two sessions between a pair of instances that dial each other at the same time.
func TestOneSessionForEachPair(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		a, b := startTransport(n, "a", registerEcho), startTransport(n, "b", registerEcho)
		defer shutdown(a, b)
		for range 3 {
			var calls sync.WaitGroup
			calls.Go(func() { a.Call(t.Context(), "b", fetchRequest(1)) })
			calls.Go(func() { b.Call(t.Context(), "a", fetchRequest(1)) })
			calls.Wait()
		}
		time.Sleep(10 * time.Second)
		n.Silence(func(x, y string) bool { return x == "a" && y == "b" })
		dials := n.Dials()
		g.Expect(dials).To(gomega.BeNumerically("<=", 2))
		_, _ = a.Call(t.Context(), "b", fetchRequest(1))
		_, err := b.Call(t.Context(), "a", fetchRequest(1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n.Dials() - dials).To(gomega.BeNumerically("<=", 2))
		g.Expect(a.Connected()).To(gomega.ConsistOf("b"))
		g.Expect(b.Connected()).To(gomega.ConsistOf("a"))
	})
}

// Guards against unused sessions that cost keepalive traffic for ever.
func TestIdleSessionIsClosed(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		a, b := startTransport(n, "a", nil), startTransport(n, "b", registerEcho)
		defer shutdown(a, b)
		_, err := a.Call(t.Context(), "b", fetchRequest(1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Minute)
		g.Expect(a.Connected()).To(gomega.BeEmpty())
		g.Expect(b.Connected()).To(gomega.BeEmpty())
		_, err = a.Call(t.Context(), "b", fetchRequest(1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

// Guards against calls that certainly were not executed, but are reported as if they might have been.
func TestUnexecutedCallsAreMarkedNotSent(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		addresses := map[string]string{"b": "b", "old-b": "b", "gone": "gone"}
		a := peer.New(peer.Options{Self: "a", Dial: n.Dialer("a"), Address: func(id string) (string, bool) {
			address, ok := addresses[id]
			return address, ok
		}})
		b := startTransport(n, "b", registerEcho)
		defer shutdown(b)
		_, err := a.Call(t.Context(), "unknown", fetchRequest(1))
		g.Expect(errors.Is(err, peer.ErrNotSent) && errors.Is(err, peer.ErrUnknownInstance)).To(gomega.BeTrue())
		_, err = a.Call(t.Context(), "gone", fetchRequest(1))
		g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeTrue(), "refused: %v", err)
		_, err = a.Call(t.Context(), "old-b", fetchRequest(1))
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
		startedAt := time.Now()
		_, err = a.Call(t.Context(), "gone", fetchRequest(1))
		g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeTrue(), "unreachable: %v", err)
		g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<=", sessionReplacedWithin))
		shutdown(a)
		_, err = a.Call(t.Context(), "b", fetchRequest(1))
		g.Expect(errors.Is(err, peer.ErrNotSent) && errors.Is(err, peer.ErrClosed)).To(gomega.BeTrue())
	})
}

// Guards against a server that a single faulty peer can stop, block or crash.
func TestServerSurvivesFaultyPeers(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		b := startTransport(n, "b", func(t *peer.Transport) {
			registerEcho(t)
			t.Handle(peer.KindClaim, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
				panic("test")
			})
			t.Handle(peer.KindRegisterFence, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
				return nil, &peer.RemoteError{Code: "stale_fence", Message: "m\xff"}
			})
			t.Handle(peer.KindForwardOrder, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
				return configResponse(1, strings.Repeat("x", peer.MaxFrameBytes)), nil
			})
		})
		a := startTransport(n, "a", nil)
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
			"\x05hello":                peer.CodeBadFrame,      // not a valid message
			"\xff\xff\xff\x7fabc":      peer.CodeFrameTooLarge, // 256 MB announced
			strings.Repeat("\xff", 12): peer.CodeBadFrame,      // endless length prefix
			"\x10\x0a":                 peer.CodeBadFrame,      // the rest of the frame never arrives
			"":                         peer.CodeBadFrame,      // no data arrives
			"\x00":                     peer.CodeUnknownCall,   // a message without a call
		} {
			stream, err := raw.Open()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = stream.Write([]byte(data))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(readResponse(g, stream).GetError().GetCode()).To(gomega.Equal(code), "%q", data)
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
		_, err = a.Call(t.Context(), "b", fetchRequest(1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

func readResponse(g *gomega.WithT, stream net.Conn) *peerpb.Response {
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

// Guards against an unbounded number of concurrent inbound calls, and against refused calls that are reported as if
// they might have been executed.
func TestInboundCallsAreBounded(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		release := make(chan struct{})
		b := startTransport(n, "b", func(t *peer.Transport) {
			t.Handle(peer.KindFetchConfig, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
				<-release
				return nil, nil
			})
		})
		defer shutdown(b)
		const callers, each = 12, 100 // more than the 1,024 calls that are served concurrently
		var mu sync.Mutex
		var wait sync.WaitGroup
		refused := 0
		for i := range callers {
			a := startTransport(n, "a"+strconv.Itoa(i), nil)
			defer shutdown(a)
			for range each {
				wait.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					_, err := a.Call(ctx, "b", fetchRequest(1))
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

// Guards against a shutdown that cuts off calls being served.
func TestShutdownFinishesCalls(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := fakenet.New()
		b := startTransport(n, "b", func(t *peer.Transport) {
			t.Handle(peer.KindFetchConfig, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
				time.Sleep(2 * time.Second)
				return configResponse(7, ""), nil
			})
		})
		a := startTransport(n, "a", nil)
		defer shutdown(a)
		var wait sync.WaitGroup
		wait.Go(func() {
			resp, err := a.Call(t.Context(), "b", fetchRequest(1))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.GetConfig().GetVersion()).To(gomega.Equal(int64(7)))
		})
		time.Sleep(time.Second)
		g.Expect(b.Shutdown(t.Context())).To(gomega.Succeed())
		wait.Wait()
		_, err := a.Call(t.Context(), "b", fetchRequest(1))
		g.Expect(errors.Is(err, peer.ErrNotSent)).To(gomega.BeTrue(), "%v", err)
	})
}

// Guards against frames of the maximum size that are not transferred, over real sockets.
func TestLargestFrameOverTCP(t *testing.T) {
	g := gomega.NewWithT(t)
	emptyPools()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	document := strings.Repeat("x", peer.MaxFrameBytes-64)
	b := peer.New(peer.Options{Self: "b"})
	b.Handle(peer.KindFetchConfig, func(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
		return configResponse(1, document), nil
	})
	go b.Serve(l)
	a := peer.New(peer.Options{Self: "a"})
	defer shutdown(a, b)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	resp, err := a.CallAddress(ctx, l.Addr().String(), fetchRequest(1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(proto.Size(resp)).To(gomega.BeNumerically(">", peer.MaxFrameBytes-64))
	g.Expect(string(resp.GetConfig().GetDocument()) == document).To(gomega.BeTrue())
}
