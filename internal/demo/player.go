// Package demo replays a trace of both workloads through a fleet of real processes while some of them are stopped, and
// checks every response.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"rhubarbpoint/engine"
	"rhubarbpoint/internal/bench"
	"rhubarbpoint/internal/fleet"
)

const (
	// maxAttempts bounds how often a caller sends a request that is refused or whose connection breaks.
	maxAttempts = 6
	// retryDelay is how long a caller waits before it sends a request again.
	retryDelay = 300 * time.Millisecond
	// attemptTimeout bounds one attempt of a caller.
	attemptTimeout = 30 * time.Second
	// ordersPerSecond and stockPerSecond are the rates of bookings and stock checks at the order service, which are
	// sent in addition to the trace.
	ordersPerSecond = 5
	stockPerSecond  = 5
	bytesPerToken   = 4
)

// Player replays one trace.
type Player struct {
	Fleet    *fleet.Fleet
	Requests []bench.Request
	// Length is the time after which no more requests are sent.
	Length time.Duration
	// Faults are injected at their times during the replay.
	Faults []Fault
	// Progress receives a line of text each second.
	Progress io.Writer

	client   *http.Client
	balancer *balancer
	counter  tallyCounter
	running  sync.WaitGroup
}

// Fault is a function that injects a fault at a time after the start of the replay.
type Fault struct {
	At   time.Duration
	Name string
	Do   func()
}

// Play sends the requests, waits for all responses and counts them by result.
func (p *Player) Play(ctx context.Context) (Tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	p.balancer = newBalancer(p.Fleet)
	go p.balancer.run(ctx)
	start := time.Now()
	go p.printProgress(ctx, start)
	p.running.Go(func() { p.playFaults(ctx, start) })
	p.running.Go(func() { p.playOrders(ctx, start, ordersPerSecond, true) })
	p.running.Go(func() { p.playOrders(ctx, start, stockPerSecond, false) })
	p.playChats(ctx, start)
	p.running.Wait()
	tally := p.counter.snapshot()
	duplicates, err := p.duplicateOrders(ctx)
	tally.DuplicateOrders = duplicates
	return tally, err
}

func (p *Player) playChats(ctx context.Context, start time.Time) {
	for i := range p.Requests {
		r := &p.Requests[i]
		at := time.Duration(r.AtMS * float64(time.Millisecond))
		if at > p.Length || !sleepUntil(ctx, start.Add(at)) {
			return
		}
		p.running.Go(func() { p.sendChat(ctx, r, i) })
	}
}

func (p *Player) playFaults(ctx context.Context, start time.Time) {
	for _, f := range p.Faults {
		if !sleepUntil(ctx, start.Add(f.At)) {
			return
		}
		fmt.Fprintln(p.Progress, f.Name)
		f.Do()
	}
}

func (p *Player) playOrders(ctx context.Context, start time.Time, rate int, booking bool) {
	for i := 0; ; i++ {
		at := time.Duration(i) * time.Second / time.Duration(rate)
		if at > p.Length || !sleepUntil(ctx, start.Add(at)) {
			return
		}
		p.running.Go(func() { p.sendOrder(ctx, booking) })
	}
}

// sendChat sends one model request and checks its response. Like a caller, it sends the request again if it is refused
// or its connection breaks before a response; a response that breaks counts as cut.
func (p *Player) sendChat(ctx context.Context, r *bench.Request, number int) {
	p.counter.addRequest()
	chat := Chat{Messages: promptMessages(r, number), MaxTokens: r.OutputTokens}
	p.counter.addResult(p.retry(ctx, func(ctx context.Context) (result, bool) {
		text, complete, status, err := chat.Send(ctx, p.client, p.balancer.pick())
		switch {
		case status == 0:
			return resultCut, true
		case status != http.StatusOK:
			return resultRefused, true
		case err != nil || !complete:
			return resultCut, false
		case text != chat.Want():
			return resultWrong, false
		}
		return resultComplete, false
	}))
}

func (p *Player) sendOrder(ctx context.Context, booking bool) {
	p.counter.addRequest()
	var o Order
	if booking {
		o.Key = newKey()
	}
	p.counter.addResult(p.retry(ctx, func(ctx context.Context) (result, bool) {
		status, run, err := o.Send(ctx, p.client, p.balancer.pick())
		switch {
		case err != nil:
			return resultCut, true
		case run == notRun && booking:
			o.Key = newKey() // a cancelled key stays cancelled
			return resultRefused, true
		case status >= http.StatusMultipleChoices:
			return resultRefused, true
		}
		return resultComplete, false
	}))
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// retry calls attempt until it returns false, which means that its result is final, or has been called maxAttempts
// times.
func (p *Player) retry(ctx context.Context, attempt func(context.Context) (result, bool)) result {
	for i := 1; ; i++ {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		outcome, retry := attempt(attemptCtx)
		cancel()
		if !retry || i == maxAttempts {
			return outcome
		}
		if !sleepUntil(ctx, time.Now().Add(retryDelay)) {
			return outcome
		}
	}
}

// duplicateOrders returns the number of bookings that the order services executed more than once.
func (p *Player) duplicateOrders(ctx context.Context) (int, error) {
	executions := make(map[string]int)
	for _, n := range p.Fleet.Services {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Address+"/executions", nil)
		if err != nil {
			return 0, errors.Wrap(err, "demo: executions")
		}
		resp, err := p.client.Do(req)
		if err != nil {
			return 0, errors.Wrap(err, "demo: executions")
		}
		var counts map[string]int
		err = json.NewDecoder(resp.Body).Decode(&counts)
		resp.Body.Close()
		if err != nil {
			return 0, errors.Wrap(err, "demo: executions")
		}
		for key, n := range counts {
			executions[key] += n
		}
	}
	duplicates := 0
	for _, n := range executions {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates, nil
}

func (p *Player) printProgress(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t := p.counter.snapshot()
			fmt.Fprintf(p.Progress, "%3.0fs sent=%d complete=%d refused=%d cut=%d wrong=%d\n",
				time.Since(start).Seconds(), t.Requests, t.Complete, t.Refused, t.Cut, t.Wrong)
		}
	}
}

// promptMessages returns a prompt with the prefix blocks and the length of a request of the trace. The number makes
// each prompt unique after its shared prefix, so that a response to another request is noticed.
func promptMessages(r *bench.Request, number int) []engine.Message {
	var history strings.Builder
	for _, hash := range r.Prefix {
		history.WriteString(strings.Repeat(hash, engine.BlockTokens*bytesPerToken/len(hash)))
	}
	rest := max(r.PromptTokens*bytesPerToken-history.Len(), 0)
	unique := fmt.Sprintf("request %d ", number)
	return []engine.Message{
		{Role: "system", Content: history.String()},
		{Role: "user", Content: unique + strings.Repeat("x", rest)},
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
