package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/engine"
	"rhubarbpoint/engine/httpengine"
	"rhubarbpoint/internal/pipenet"
	standin "rhubarbpoint/internal/standin/engine"
)

const (
	addr = "10.1.0.1:80"
	step = 20 * time.Millisecond
)

// fixture is one stand-in engine and the HTTP client that instances use, in virtual time.
type fixture struct {
	gomega.Gomega
	net    *pipenet.Network
	engine *standin.Engine
	client *httpengine.Client
	ctx    context.Context
}

func withFixture(t *testing.T, opts standin.Options, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{Gomega: gomega.NewWithT(t), net: pipenet.New(), engine: standin.New(opts), ctx: context.Background()}
		f.client = httpengine.NewWithDial(f.net.Dial)
		go f.engine.Server().Serve(f.net.Listen(addr))
		defer func() {
			f.net.Close()
			time.Sleep(time.Minute)
		}()
		test(f)
	})
}

// expectIs checks an error with errors.Is of cockroachdb/errors, since gomega's MatchError does not see its marks.
func (f *fixture) expectIs(err, want error) {
	f.Expect(errors.Is(err, want)).To(gomega.BeTrue(), "%v is not %v", err, want)
}

func request(id, message string, tokens int) *engine.Request {
	return &engine.Request{RequestID: id, Attempt: "1", Model: "m", Version: "1", MaxTokens: tokens,
		Messages: []engine.Message{{Role: "user", Content: message}}}
}

// run sends a request and returns the output's text, the end frame, and the time that it took.
func (f *fixture) run(req *engine.Request) (string, *engine.Frame, time.Duration) {
	started := time.Now()
	s, err := f.client.Generate(f.ctx, addr, req)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	defer s.Close()
	text := ""
	for {
		frame, err := s.Recv()
		f.Expect(err).NotTo(gomega.HaveOccurred())
		if frame.End {
			return text, frame, time.Since(started)
		}
		text += frame.Token
	}
}

// Guards against a stand-in whose batch, queue and prefix cache do not affect its latency as those of a real engine do.
func TestBatchAndCache(t *testing.T) {
	opts := standin.Options{Step: step, StepPerRequest: step, MaxRunning: 4, CacheBlocks: 2}
	withFixture(t, opts, func(f *fixture) {
		_, _, alone := f.run(request("a", "hi", 10))
		f.Expect(alone).To(gomega.BeNumerically("~", 10*step, step))
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				_, _, shared := f.run(request(fmt.Sprint(i), "hi", 10))
				f.Expect(shared).To(gomega.BeNumerically("~", 40*step, 8*step))
			})
		}
		wg.Wait()
		long := strings.Repeat("word ", 8000) // 10,000 tokens: 2 full blocks and a half, 0.5 s of prefill
		_, end, cold := f.run(request("b", long, 1))
		_, warmEnd, warm := f.run(request("c", long, 1))
		f.Expect([]int{end.CachedTokens, warmEnd.CachedTokens}).To(gomega.Equal([]int{0, 8000}))
		f.Expect(cold - warm).To(gomega.BeNumerically("~", 400*time.Millisecond, step))
		f.run(request("d", "other "+long, 1))
		_, evicted, _ := f.run(request("e", long, 1))
		f.Expect(evicted.CachedTokens).To(gomega.BeZero(), "the cache holds 2 blocks")
	})
}

// Guards against load reports and cache events that are newer or more complete than those of a real engine.
func TestLateReports(t *testing.T) {
	opts := standin.Options{Step: step, LoadLag: time.Second, CacheEventDelay: 2 * time.Second, CacheEventLoss: 2}
	withFixture(t, opts, func(f *fixture) {
		var wg sync.WaitGroup
		wg.Go(func() { f.run(request("a", strings.Repeat("word ", 10_000), 100)) })
		time.Sleep(900 * time.Millisecond)
		load, err := f.client.Load(f.ctx, addr)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.Expect(load.Running + load.Waiting).To(gomega.BeZero())
		time.Sleep(time.Second)
		f.Expect(f.client.Load(f.ctx, addr)).To(gomega.HaveField("Running", 1))
		f.Expect(f.client.CacheEvents(f.ctx, addr, 0)).To(gomega.HaveField("Events", gomega.BeEmpty()))
		time.Sleep(2 * time.Second)
		events, err := f.client.CacheEvents(f.ctx, addr, 0)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.Expect([]any{len(events.Events), events.Last, events.Lost}).To(gomega.Equal([]any{2, uint64(3), true}))
		f.engine.SetFaults(standin.Faults{DropLoad: true})
		_, err = f.client.Load(f.ctx, addr)
		f.expectIs(err, engine.ErrConnectionBroken)
		wg.Wait()
	})
}

// Guards against resumption, cancellation and draining that differ from what the instances rely on.
func TestResumeCancelDrain(t *testing.T) {
	withFixture(t, standin.Options{Step: step}, func(f *fixture) {
		whole, _, _ := f.run(request("a", "hi", 10))
		resumed := request("b", "hi", 10)
		resumed.Delivered = standin.Output(resumed)[:4]
		rest, end, _ := f.run(resumed)
		f.Expect(strings.Join(resumed.Delivered, "") + rest).To(gomega.Equal(whole))
		f.Expect(end.Total).To(gomega.Equal(10))
		resumed.Delivered = []string{"other "}
		_, err := f.client.Generate(f.ctx, addr, resumed)
		f.expectIs(err, engine.ErrConnectionBroken)

		time.AfterFunc(5*step, func() { f.client.Cancel(f.ctx, addr, "c", "1") })
		_, end, _ = f.run(request("c", "hi", 1000))
		f.Expect(end.Total).To(gomega.BeNumerically("<", 10))

		var wg sync.WaitGroup
		wg.Go(func() { f.run(request("d", "hi", 100)) })
		time.Sleep(step)
		f.engine.Drain()
		_, err = f.client.Generate(f.ctx, addr, request("e", "hi", 1))
		f.expectIs(err, engine.ErrDraining)
		wg.Wait()
		f.Expect(f.engine.Stop(f.ctx, &http.Server{})).To(gomega.Succeed())
	})
}

// Guards against orders that overlap, that are accepted with an old fencing token, or that cut off requests.
func TestOrders(t *testing.T) {
	withFixture(t, standin.Options{Step: step, ChecksFence: true, ChangeTime: 5 * time.Second}, func(f *fixture) {
		var wg sync.WaitGroup
		wg.Go(func() { f.run(request("a", "hi", 100)) })
		time.Sleep(step)
		wg.Go(func() {
			order := &engine.Order{ID: "1", Fence: 7, Kind: engine.OrderRole, Role: engine.RolePrefill}
			started := time.Now()
			f.Expect(f.client.Order(f.ctx, addr, order)).To(gomega.HaveField("Applied", true))
			f.Expect(time.Since(started)).To(gomega.BeNumerically(">", 98*step+5*time.Second), "it waits for the request")
		})
		time.Sleep(time.Second)
		_, err := f.client.Order(f.ctx, addr, &engine.Order{ID: "2", Fence: 7, Kind: engine.OrderRole})
		f.expectIs(err, engine.ErrBusy)
		_, err = f.client.Order(f.ctx, addr, &engine.Order{ID: "3", Fence: 6, Kind: engine.OrderRole})
		f.expectIs(err, engine.ErrStaleFence)
		_, err = f.client.Generate(f.ctx, addr, request("b", "hi", 1))
		f.expectIs(err, engine.ErrOverloaded)
		f.Expect(f.client.State(f.ctx, addr)).To(gomega.HaveField("Changing", "1"))
		wg.Wait()
		state, err := f.client.State(f.ctx, addr)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.Expect([]any{state.Role, state.LastOrderID, state.Changing, state.Fence}).To(
			gomega.Equal([]any{engine.RolePrefill, "1", "", int64(7)}))
	})
}

// Guards against a client that takes a silent or truncated stream for a complete one, or a refused connection for a
// request that was sent.
func TestClientErrors(t *testing.T) {
	withFixture(t, standin.Options{Step: step}, func(f *fixture) {
		for fault, want := range map[standin.FrameFault]error{
			standin.FaultSilent: engine.ErrIdleTimeout, standin.FaultGarbage: engine.ErrCorrupt, standin.FaultNoEnd: io.EOF,
			standin.FaultTruncated: engine.ErrConnectionBroken, standin.FaultBroken: engine.ErrConnectionBroken,
		} {
			f.engine.SetFaults(standin.Faults{Frame: fault, FrameAt: 2, Streams: 1})
			s, err := f.client.Generate(f.ctx, addr, request("a", "hi", 5))
			f.Expect(err).NotTo(gomega.HaveOccurred())
			for err == nil {
				_, err = s.Recv()
			}
			f.expectIs(err, want)
			s.Close()
		}
		f.net.Kill(addr)
		_, err := f.client.Generate(f.ctx, addr, request("a", "hi", 5))
		f.expectIs(err, engine.ErrNotSent)
	})
}
