package simhedge

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbpoint/hedge"
	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/place"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// request plays one request with up to two attempts.
func (p *play) request(id uint64) {
	random := rand.New(rand.NewPCG(p.Seed, id))
	in := p.instances[random.IntN(playInstances)]
	arrived, now := p.clock.Now(), p.clock.Time()
	in.budget.RecordRequest(now)
	in.service.RecordRequest(now)
	p.result.Requests = append(p.result.Requests, arrived)
	workTimes := []float64{unusual(random), unusual(random)}
	if p.OwnWork {
		workTimes[1] = workTimes[0]
	}
	work := func(n int) float64 {
		return playWork * workTimes[n] * math.Exp(playSigma*random.NormFloat64()-playSigma*playSigma/2)
	}
	works := []float64{work(0), work(1)}
	request := &place.Request{Deadline: now.Add(playDeadline), Refused: map[upstream.Incarnation]bool{}}
	service := &traffic.Service{Name: "s"}
	chosen, err := in.balancer.Choose(now, service, in.healthy(now, p.upstreams), request)
	if err != nil {
		p.times = append(p.times, playDeadline)
		return
	}
	finish := func() {
		if took := p.clock.Now() - arrived; arrived >= playWarmUp {
			p.times = append(p.times, took)
			if took <= playGood {
				p.good++
			}
		}
	}
	var second *playAttempt
	first := p.send(in, chosen, works[0], func(a *playAttempt) {
		in.service.RecordFirst(p.clock.Time(), p.clock.Now()-a.sent, a.outlook)
		if second != nil {
			p.cancel(in, second)
			in.service.RecordSecond(p.clock.Time(), p.clock.Now()-second.sent, true, second.outlook)
		}
		finish()
	})
	if p.Share == 0 {
		return
	}
	request.Refused[chosen.Replica.Incarnation()] = true
	var ask func()
	ask = func() {
		if first.done {
			return
		}
		now := p.clock.Time()
		input := &hedge.Input{
			Now: now, Sent: simclock.At(first.sent), Deadline: request.Deadline, Started: 1, MaxAttempts: 2,
			Load: in.balancer.SlotUse(now, p.upstreams), Running: first.outlook,
		}
		input.Running.Factor = in.factors[first.replica]
		input.Running.PastFactor = (first.outlook.PastFactor + input.Running.Factor) / 2
		if p.Factors {
			input.Recheck = 30 * time.Millisecond
		}
		var other place.Placement
		d := in.service.Ask(input, in.budget, func() (hedge.Outlook, bool) {
			var err error
			if other, err = in.balancer.Choose(now, service, in.healthy(now, p.upstreams), request); err != nil {
				return hedge.Outlook{}, false
			}
			return hedge.Outlook{Wait: other.Wait, Factor: in.factors[slices.Index(p.upstreams, other.Replica)]}, true
		})
		if !d.Send {
			if !d.Again.IsZero() {
				p.clock.After(d.Again.Sub(now), ask)
			}
			return
		}
		p.result.SecondAttempts = append(p.result.SecondAttempts, p.clock.Now())
		second = p.send(in, other, works[1], func(a *playAttempt) {
			p.won++
			in.service.RecordSecond(p.clock.Time(), p.clock.Now()-a.sent, false, a.outlook)
			p.cancel(in, first)
			if in.service.RecordCancelledFirst(p.clock.Time(), p.clock.Now()-first.sent, first.outlook) &&
				in.health.RecordFailure(p.clock.Time(), chosen.Replica.ID) {
				p.result.Ejections++
			}
			finish()
		})
	}
	ask()
}

func unusual(random *rand.Rand) float64 {
	if random.Float64() < longShare {
		return longTimes
	}
	return 1
}
