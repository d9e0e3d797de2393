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

// bench is one stand-in engine and the client of the instances, in virtual time.
type bench struct {
	gomega.Gomega
	net    *pipenet.Network
	engine *standin.Engine
	client *httpengine.Client
	ctx    context.Context
}

func inBench(t *testing.T, opts standin.Options, test func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{Gomega: gomega.NewWithT(t), net: pipenet.New(), engine: standin.New(opts), ctx: context.Background()}
		b.client = httpengine.NewWithDial(b.net.Dial)
		go b.engine.Server().Serve(b.net.Listen(addr))
		defer func() {
			b.net.Close()
			time.Sleep(time.Minute)
		}()
		test(b)
	})
}

// expectIs checks an error by its mark, which gomega's MatchError does not see.
func (b *bench) expectIs(err, want error) {
	b.Expect(errors.Is(err, want)).To(gomega.BeTrue(), "%v is not %v", err, want)
}

func request(id, message string, tokens int) *engine.Request {
	return &engine.Request{RequestID: id, Attempt: "1", Model: "m", Version: "1", MaxTokens: tokens,
		Messages: []engine.Message{{Role: "user", Content: message}}}
}

// run returns the answer's text, its end frame, and the time that it took.
func (b *bench) run(req *engine.Request) (string, *engine.Frame, time.Duration) {
	started := time.Now()
	s, err := b.client.Generate(b.ctx, addr, req)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	defer s.Close()
	text := ""
	for {
		f, err := s.Recv()
		b.Expect(err).NotTo(gomega.HaveOccurred())
		if f.End {
			return text, f, time.Since(started)
		}
		text += f.Token
	}
}

// Guards against a stand-in whose batch, queue and prefix cache do not slow down or speed up as an engine's do.
func TestBatchAndCache(t *testing.T) {
	opts := standin.Options{Step: step, StepPerRequest: step, MaxRunning: 4, CacheBlocks: 2}
	inBench(t, opts, func(b *bench) {
		_, _, alone := b.run(request("a", "hi", 10))
		b.Expect(alone).To(gomega.BeNumerically("~", 10*step, step))
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				_, _, shared := b.run(request(fmt.Sprint(i), "hi", 10))
				b.Expect(shared).To(gomega.BeNumerically("~", 40*step, 8*step))
			})
		}
		wg.Wait()
		long := strings.Repeat("word ", 8000) // 10,000 tokens: 2 full blocks and a half, 0.5 s of processing
		_, end, cold := b.run(request("b", long, 1))
		_, warmEnd, warm := b.run(request("c", long, 1))
		b.Expect([]int{end.CachedTokens, warmEnd.CachedTokens}).To(gomega.Equal([]int{0, 8000}))
		b.Expect(cold - warm).To(gomega.BeNumerically("~", 400*time.Millisecond, step))
		b.run(request("d", "other "+long, 1))
		_, evicted, _ := b.run(request("e", long, 1))
		b.Expect(evicted.CachedTokens).To(gomega.BeZero(), "the memory holds 2 blocks")
	})
}

// Guards against load reports and cache events that are younger or more complete than an engine's.
func TestLateReports(t *testing.T) {
	opts := standin.Options{Step: step, LoadLag: time.Second, CacheEventDelay: 2 * time.Second, CacheEventLoss: 2}
	inBench(t, opts, func(b *bench) {
		var wg sync.WaitGroup
		wg.Go(func() { b.run(request("a", strings.Repeat("word ", 10_000), 100)) })
		time.Sleep(900 * time.Millisecond)
		load, err := b.client.Load(b.ctx, addr)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(load.Running + load.Waiting).To(gomega.BeZero())
		time.Sleep(time.Second)
		b.Expect(b.client.Load(b.ctx, addr)).To(gomega.HaveField("Running", 1))
		b.Expect(b.client.CacheEvents(b.ctx, addr, 0)).To(gomega.HaveField("Events", gomega.BeEmpty()))
		time.Sleep(2 * time.Second)
		events, err := b.client.CacheEvents(b.ctx, addr, 0)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect([]any{len(events.Events), events.Last, events.Lost}).To(gomega.Equal([]any{2, uint64(3), true}))
		b.engine.SetFaults(standin.Faults{DropLoad: true})
		_, err = b.client.Load(b.ctx, addr)
		b.expectIs(err, engine.ErrConnectionBroken)
		wg.Wait()
	})
}

// Guards against resumption, cancellation and refusals that differ from what the instances rely on.
func TestResumeCancelDrain(t *testing.T) {
	inBench(t, standin.Options{Step: step}, func(b *bench) {
		whole, _, _ := b.run(request("a", "hi", 10))
		resumed := request("b", "hi", 10)
		resumed.Delivered = standin.Output(resumed)[:4]
		rest, end, _ := b.run(resumed)
		b.Expect(strings.Join(resumed.Delivered, "") + rest).To(gomega.Equal(whole))
		b.Expect(end.Total).To(gomega.Equal(10))
		resumed.Delivered = []string{"other "}
		_, err := b.client.Generate(b.ctx, addr, resumed)
		b.expectIs(err, engine.ErrConnectionBroken)

		time.AfterFunc(5*step, func() { b.client.Cancel(b.ctx, addr, "c", "1") })
		_, end, _ = b.run(request("c", "hi", 1000))
		b.Expect(end.Total).To(gomega.BeNumerically("<", 10))

		var wg sync.WaitGroup
		wg.Go(func() { b.run(request("d", "hi", 100)) })
		time.Sleep(step)
		b.engine.Drain()
		_, err = b.client.Generate(b.ctx, addr, request("e", "hi", 1))
		b.expectIs(err, engine.ErrDraining)
		wg.Wait()
		b.Expect(b.engine.Stop(b.ctx, &http.Server{})).To(gomega.Succeed())
	})
}

// Guards against orders that overlap, that pass with an old fencing number, or that cut requests.
func TestOrders(t *testing.T) {
	inBench(t, standin.Options{Step: step, ChecksFence: true, ChangeTime: 5 * time.Second}, func(b *bench) {
		var wg sync.WaitGroup
		wg.Go(func() { b.run(request("a", "hi", 100)) })
		time.Sleep(step)
		wg.Go(func() {
			order := &engine.Order{ID: "1", Fence: 7, Kind: engine.OrderRole, Role: engine.RolePrefill}
			started := time.Now()
			b.Expect(b.client.Order(b.ctx, addr, order)).To(gomega.HaveField("Applied", true))
			b.Expect(time.Since(started)).To(gomega.BeNumerically(">", 98*step+5*time.Second), "it waits for the request")
		})
		time.Sleep(time.Second)
		_, err := b.client.Order(b.ctx, addr, &engine.Order{ID: "2", Fence: 7, Kind: engine.OrderRole})
		b.expectIs(err, engine.ErrBusy)
		_, err = b.client.Order(b.ctx, addr, &engine.Order{ID: "3", Fence: 6, Kind: engine.OrderRole})
		b.expectIs(err, engine.ErrStaleFence)
		_, err = b.client.Generate(b.ctx, addr, request("b", "hi", 1))
		b.expectIs(err, engine.ErrOverloaded)
		b.Expect(b.client.State(b.ctx, addr)).To(gomega.HaveField("Changing", "1"))
		wg.Wait()
		state, err := b.client.State(b.ctx, addr)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect([]any{state.Role, state.LastOrderID, state.Changing, state.Fence}).To(
			gomega.Equal([]any{engine.RolePrefill, "1", "", int64(7)}))
	})
}

// Guards against a client that takes a silent or cut stream for a whole one, or a refused connection for a sent request.
func TestClientErrors(t *testing.T) {
	inBench(t, standin.Options{Step: step}, func(b *bench) {
		for fault, want := range map[standin.FrameFault]error{
			standin.FaultSilent: engine.ErrIdleTimeout, standin.FaultGarbage: engine.ErrCorrupt, standin.FaultNoEnd: io.EOF,
			standin.FaultTruncated: engine.ErrConnectionBroken, standin.FaultBroken: engine.ErrConnectionBroken,
		} {
			b.engine.SetFaults(standin.Faults{Frame: fault, FrameAt: 2, Streams: 1})
			s, err := b.client.Generate(b.ctx, addr, request("a", "hi", 5))
			b.Expect(err).NotTo(gomega.HaveOccurred())
			for err == nil {
				_, err = s.Recv()
			}
			b.expectIs(err, want)
			s.Close()
		}
		b.net.Kill(addr)
		_, err := b.client.Generate(b.ctx, addr, request("a", "hi", 5))
		b.expectIs(err, engine.ErrNotSent)
	})
}
