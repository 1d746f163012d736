package scatter

import (
	"context"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/merge"
	"lentilward.org/schema/domain"
)

// Gather is the part of a search that a peer runs near the servers. It tries
// each service once; what is late or has failed goes on from the asker.
type Gather struct {
	Request  *domain.Request
	Route    string
	Rank     int
	Results  int
	Services []string
	// HedgeAfter is when the asker wants to know which parts are late.
	HedgeAfter time.Duration
	// TimeLeft is how long the request has.
	TimeLeft time.Duration
}

// Partial is what a peer has gathered since it last told. Parts are named by
// their place in Gather.Services.
type Partial struct {
	_ struct{} `cbor:",toarray"`
	// Done are the parts whose records are merged here, with their proofs.
	Done    []int
	Proofs  []string
	Records []byte
	// Late parts may still come, Failed ones do not; Servers tried them, in the
	// same order.
	Late          []int
	LateServers   []string
	Failed        []int
	FailedServers []string
	// Lost is the number of calls whose connection ended without a reply.
	Lost int
}

// Gather runs part of a search for a peer and emits what comes: one merged
// answer once the asker would hedge, then each part by itself.
func (e *Engine) Gather(ctx context.Context, g Gather, state *balance.Route, services []*balance.Service, emit func(Partial)) {
	if g.TimeLeft <= 0 {
		return
	}
	begin := time.Now()
	route := &domain.Route{
		Name: g.Route, Idempotent: true, MaxAttempts: 1, Rank: g.Rank, Results: g.Results, Shards: g.Services,
	}
	request := *g.Request
	request.TimeLeft = g.TimeLeft
	r := newRun(ctx, e, Task{Request: &request, Route: route, State: state, Services: services, Begin: begin})
	defer r.finish()
	r.gather(ctx, begin.Add(g.HedgeAfter), emit)
}

// gather runs until every part is told, or the context ends.
func (r *run) gather(ctx context.Context, flushAt time.Time, emit func(Partial)) {
	told := make([]bool, len(r.parts))
	now := time.Now()
	for i, s := range r.task.Services {
		r.parts[i].service = s
	}
	for i := range r.parts {
		r.start(i, now)
	}
	r.timer = time.NewTimer(0)
	defer r.timer.Stop()
	flushed := false
	for {
		now = time.Now()
		due := !flushed && !now.Before(flushAt)
		if p, any := r.untold(told, due || flushed || r.open == 0, due); any {
			emit(p)
		}
		flushed = flushed || due
		if r.open == 0 || !now.Before(r.end) {
			return
		}
		wake := r.wakeAt()
		if !flushed && flushAt.Before(wake) {
			wake = flushAt
		}
		r.timer.Reset(wake.Sub(now))
		select {
		case e := <-r.events:
			r.receive(e, time.Now())
			r.drain()
		case i := <-r.room:
			r.parts[i].waiter = nil
			r.start(i, time.Now())
		case <-r.timer.C:
			r.tick(time.Now())
		case <-ctx.Done():
			if context.Cause(ctx) == ErrAbandoned {
				r.abort()
			}
			return
		}
	}
}

// untold collects what was not told yet: failures always, parts that are done if
// wanted, and what is late if due.
func (r *run) untold(told []bool, done, late bool) (_ Partial, any bool) {
	var p Partial
	top := merge.NewTop(r.task.Route.Results)
	for i := range r.parts {
		x := &r.parts[i]
		switch {
		case told[i]:
		case x.reply != nil && done:
			p.Done = append(p.Done, i)
			p.Proofs = append(p.Proofs, x.reply.Proof)
			top.Add(x.reply.Body)
			told[i] = true
		case x.closed && x.reply == nil:
			p.Failed = append(p.Failed, i)
			p.FailedServers = append(p.FailedServers, x.lastServer())
			told[i] = true
		case late && x.reply == nil:
			p.Late = append(p.Late, i)
			p.LateServers = append(p.LateServers, x.lastServer())
		}
	}
	if len(p.Done) > 0 {
		p.Records = top.Bytes()
	}
	p.Lost, r.stats.Lost = r.stats.Lost, 0
	return p, len(p.Done)+len(p.Failed)+len(p.Late) > 0
}

// lastServer is the server tried last, or empty if there was none.
func (p *part) lastServer() string {
	if len(p.tried) == 0 {
		return ""
	}
	return p.tried[len(p.tried)-1].ID
}
