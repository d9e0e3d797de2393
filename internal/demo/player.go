// Package demo plays a trace of both workloads through a fleet of real processes, while processes are stopped, and
// checks every answer.
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
	// attempts bounds how often a caller sends a refused or broken request again.
	attempts = 6
	// retryPause is a caller's wait before it sends a request again.
	retryPause = 300 * time.Millisecond
	// requestTimeout bounds one try of a caller.
	requestTimeout = 30 * time.Second
	// ordersPerSecond and stockPerSecond are the calls to the order service beside the trace.
	ordersPerSecond = 5
	stockPerSecond  = 5
	bytesPerToken   = 4
)

// Player plays one trace.
type Player struct {
	Fleet    *fleet.Fleet
	Requests []bench.Request
	// Length is the time to play.
	Length time.Duration
	// Faults are called at their times while the trace plays.
	Faults []Fault
	// Progress gets a line each second.
	Progress io.Writer

	client   *http.Client
	balancer *balancer
	count    counter
	running  sync.WaitGroup
}

// Fault is something that happens while the trace plays.
type Fault struct {
	At   time.Duration
	Name string
	Do   func()
}

// Play sends the requests, waits for all answers and counts them.
func (p *Player) Play(ctx context.Context) (Tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	p.balancer = newBalancer(p.Fleet)
	go p.balancer.run(ctx)
	start := time.Now()
	go p.report(ctx, start)
	p.running.Go(func() { p.playFaults(ctx, start) })
	p.running.Go(func() { p.playOrders(ctx, start, ordersPerSecond, true) })
	p.running.Go(func() { p.playOrders(ctx, start, stockPerSecond, false) })
	p.playChats(ctx, start)
	p.running.Wait()
	tally := p.count.snapshot()
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
		p.running.Go(func() { p.chat(ctx, r, i) })
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
		p.running.Go(func() { p.order(ctx, booking) })
	}
}

// chat sends one model request and checks its answer. A broken connection before any answer is sent again, as callers
// do; a broken answer counts as cut.
func (p *Player) chat(ctx context.Context, r *bench.Request, number int) {
	p.count.start()
	chat := Chat{Messages: messages(r, number), MaxTokens: r.OutputTokens}
	p.count.end(p.retry(ctx, func(ctx context.Context) (result, bool) {
		text, whole, status, err := chat.Send(ctx, p.client, p.balancer.pick())
		switch {
		case status == 0:
			return resultCut, true
		case status != http.StatusOK:
			return resultRefused, true
		case err != nil || !whole:
			return resultCut, false
		case text != chat.Want():
			return resultWrong, false
		}
		return resultComplete, false
	}))
}

func (p *Player) order(ctx context.Context, booking bool) {
	p.count.start()
	var o Order
	if booking {
		o.Key = newKey()
	}
	p.count.end(p.retry(ctx, func(ctx context.Context) (result, bool) {
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

// retry repeats a try while it asks for that.
func (p *Player) retry(ctx context.Context, try func(context.Context) (result, bool)) result {
	for i := 1; ; i++ {
		tryCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		outcome, again := try(tryCtx)
		cancel()
		if !again || i == attempts {
			return outcome
		}
		if !sleepUntil(ctx, time.Now().Add(retryPause)) {
			return outcome
		}
	}
}

// duplicateOrders asks the order services how often each booking was executed.
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

func (p *Player) report(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t := p.count.snapshot()
			fmt.Fprintf(p.Progress, "%3.0fs sent=%d complete=%d refused=%d cut=%d wrong=%d\n",
				time.Since(start).Seconds(), t.Requests, t.Complete, t.Refused, t.Cut, t.Wrong)
		}
	}
}

// messages makes a prompt that has the trace's prefix blocks and length. The number makes each prompt unique after its
// shared prefix, so that a crossed answer is noticed.
func messages(r *bench.Request, number int) []engine.Message {
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
