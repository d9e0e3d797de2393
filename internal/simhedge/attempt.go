package simhedge

import (
	"slices"
	"time"

	"rhubarbpoint/hedge"
	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/place"
	"rhubarbpoint/relay"
)

// playAttempt is one attempt of a request.
type playAttempt struct {
	replica       int
	sent, began   time.Duration
	work          float64
	running, done bool
	outlook       hedge.Outlook
	finished      func()
}

// start runs an attempt in a slot. Its work progresses more slowly in slow periods.
func (p *play) start(a *playAttempt) {
	a.running, a.began = true, p.clock.Now()
	p.replicas[a.replica].running++
	end, left := a.began, a.work
	for {
		next := (end/slowPeriod + 1) * slowPeriod
		f := p.factor(a.replica, end)
		if done := (next - end).Seconds() / f; done < left {
			left, end = left-done, next
			continue
		}
		end += simclock.Seconds(left * f)
		break
	}
	p.clock.After(end-a.began, func() {
		if !a.done {
			p.end(a)
			a.finished()
		}
	})
}

func (p *play) end(a *playAttempt) {
	a.done = true
	r := p.replicas[a.replica]
	if !a.running {
		r.queue = slices.DeleteFunc(r.queue, func(q *playAttempt) bool { return q == a })
		return
	}
	r.running--
	p.result.SlotTime += (p.clock.Now() - a.began).Seconds()
	if len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		p.start(next)
	}
}

// send sends an attempt to a placement. finished is called at its response, which carries a load report.
func (p *play) send(in *playInstance, chosen place.Placement, work float64, finished func(*playAttempt)) *playAttempt {
	replica := slices.Index(p.upstreams, chosen.Replica)
	a := &playAttempt{replica: replica, sent: p.clock.Now(), work: work}
	a.outlook = hedge.Outlook{Wait: chosen.Wait, Factor: in.factors[replica], PastFactor: in.factors[replica]}
	in.balancer.RecordSend(p.clock.Time(), chosen.Replica, 0)
	a.finished = func() {
		r := p.replicas[replica]
		in.balancer.UpdateLoad(p.clock.Time(), chosen.Replica, &relay.Load{Running: r.running, Waiting: len(r.queue), Slots: playSlots})
		if p.Factors {
			in.factors[replica] = p.factor(replica, p.clock.Now())
		}
		in.balancer.RecordSendEnd(chosen.Replica, 0)
		in.balancer.RecordResponseTime(chosen.Replica, p.clock.Now()-a.sent)
		in.health.RecordSuccess(p.clock.Time(), chosen.Replica.ID)
		p.update(in, a)
		finished(a)
	}
	if r := p.replicas[replica]; r.running >= playSlots {
		r.queue = append(r.queue, a)
	} else {
		p.start(a)
	}
	return a
}

func (p *play) update(in *playInstance, a *playAttempt) {
	f := in.factors[a.replica]
	a.outlook.Factor, a.outlook.PastFactor = f, (a.outlook.PastFactor+f)/2
}

func (p *play) cancel(in *playInstance, a *playAttempt) {
	p.end(a)
	in.balancer.RecordSendEnd(p.upstreams[a.replica], 0)
	p.update(in, a)
}
