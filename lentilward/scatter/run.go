package scatter

import (
	"context"
	"errors"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/schema/domain"
)

const (
	// recheck is how soon a repeat that was not possible is tried again.
	recheck = 12 * time.Millisecond
	// maxCalls bounds the calls for one part, refused ones included.
	maxCalls = 6
	// endMargin is how long before the end a request is given up, so that the
	// caller still gets the answer; endShare bounds it for short times, as the
	// inverse of a share.
	endMargin = 15 * time.Millisecond
	endShare  = 4
)

// run is the state of one request. One goroutine owns it; calls report to it.
type run struct {
	engine *Engine
	policy *Policy
	task   Task
	// end is when the request is given up, answerBy when an answer with most
	// parts is better than a later one.
	end, answerBy time.Time
	parts         []part
	// have and open count the parts that have replied and those that may.
	have, open int
	events     chan event
	room       chan int
	stats      Stats
	// refused counts the calls that have not run for certain.
	refused int
	// dials ends the attempts to connect of a request that was given up.
	dials context.Context
	stop  context.CancelFunc
	timer *time.Timer
	// delegated are the parts that a peer gathers, news is what it tells.
	delegated  []int
	news       chan news
	cancelPeer func(hard bool)
}

// part is what one service contributes.
type part struct {
	service *balance.Service
	tried   []*balance.Server
	calls   []*call
	// started counts all calls, attempts those that may have run.
	started, attempts int
	// next is when to try another call; zero if there is no need.
	next   time.Time
	waiter *balance.Waiter
	closed bool
	// helped is set while a peer may bring the part, and group once it has.
	helped bool
	group  *group
	reply  *domain.Reply
	// failure is the last reply that was not a success.
	failure *domain.Reply
}

// event is the end of a call.
type event struct {
	call  *call
	reply *domain.Reply
	err   error
}

func newRun(ctx context.Context, e *Engine, t Task) *run {
	end := t.end()
	r := &run{
		engine: e, policy: e.policy.Load(), task: t, end: end.Add(-min(endMargin, end.Sub(t.Begin)/endShare)),
		parts: make([]part, len(t.Services)), open: len(t.Services),
		events: make(chan event, len(t.Services)*maxCalls), room: make(chan int, len(t.Services)),
	}
	r.dials, r.stop = context.WithCancel(context.WithoutCancel(ctx))
	r.answerBy = r.end
	if r.policy.EarlyAnswer && len(t.Route.Shards) > 0 && t.Route.Objective > 0 {
		by := t.Begin.Add(max(t.Route.Objective-r.policy.AnswerMargin, t.Route.Objective/2))
		if by.Before(r.end) {
			r.answerBy = by
		}
	}
	return r
}

// loop runs the request to its answer.
func (r *run) loop(ctx context.Context) (*domain.Answer, *domain.Refusal) {
	now := time.Now()
	for i, s := range r.task.Services {
		r.parts[i].service = s
		s.Budget.First(now)
	}
	if refusal := r.foresee(now); refusal != nil {
		return nil, refusal
	}
	r.delegate(now)
	for i := range r.parts {
		if !r.parts[i].helped {
			r.start(i, now)
		}
	}
	r.timer = time.NewTimer(0)
	defer r.timer.Stop()
	for {
		now = time.Now()
		if done, answer, refusal := r.conclude(now); done {
			return answer, refusal
		}
		r.timer.Reset(r.wakeAt().Sub(now))
		select {
		case e := <-r.events:
			r.receive(e, time.Now())
			r.drain()
		case i := <-r.room:
			r.parts[i].waiter = nil
			r.start(i, time.Now())
		case n := <-r.news:
			r.hear(n, time.Now())
		case <-r.timer.C:
			r.tick(time.Now())
		case <-ctx.Done():
			r.abort()
			return nil, &domain.Refusal{Reason: domain.Abandoned, Outcome: r.outcome(), Message: "caller has left"}
		}
	}
}

// drain takes in the calls that have ended meanwhile.
func (r *run) drain() {
	for {
		select {
		case e := <-r.events:
			r.receive(e, time.Now())
		default:
			return
		}
	}
}

// wakeAt returns when the next decision is due.
func (r *run) wakeAt() time.Time {
	at := r.end
	if r.have >= r.least() && r.answerBy.Before(at) {
		at = r.answerBy
	}
	for i := range r.parts {
		p := &r.parts[i]
		if !p.closed && !p.next.IsZero() && p.next.Before(at) {
			at = p.next
		}
	}
	return at
}

// tick makes the hedges and repeats that are due.
func (r *run) tick(now time.Time) {
	for i := range r.parts {
		p := &r.parts[i]
		if p.closed || p.next.IsZero() || p.next.After(now) {
			continue
		}
		p.next = time.Time{}
		for _, c := range p.calls {
			c.late()
		}
		r.start(i, now)
	}
}

// start makes one more call for a part, if one is needed and allowed.
func (r *run) start(i int, now time.Time) {
	p := &r.parts[i]
	if p.closed || p.waiter != nil || p.started >= maxCalls || p.attempts >= r.task.Route.MaxAttempts {
		return
	}
	hedge := len(p.calls) > 0 || p.helped
	if hedge && (!r.policy.Hedge || !r.task.Route.Idempotent) {
		return
	}
	repeat := p.started > 0
	if repeat && !p.service.Budget.Spend(now, r.engine.Share(), hedge) {
		p.next = now.Add(recheck)
		return
	}
	s := r.choose(p, hedge, now)
	if s == nil {
		if repeat {
			p.service.Budget.Refund(now)
		}
		r.wait(i, hedge, now)
		return
	}
	r.launch(i, s, hedge, repeat, now)
}

// choose takes a place on a server that was not tried yet. A repeat goes to
// one that was tried if there is no other.
func (r *run) choose(p *part, hedge bool, now time.Time) *balance.Server {
	s := p.service.Acquire(p.tried, now)
	if s != nil && hedge && s.Late() {
		p.service.Release(s)
		return nil
	}
	if s == nil && !hedge && len(p.tried) > 0 {
		s = p.service.Acquire(nil, now)
	}
	return s
}

// wait puts off a call for which there is no room. A part whose servers are
// all out of reach is given up.
func (r *run) wait(i int, hedge bool, now time.Time) {
	p := &r.parts[i]
	switch {
	case hedge:
		p.next = now.Add(recheck)
	case !p.service.Reachable(now):
		r.close(p)
	default:
		r.stats.Waited++
		p.waiter = &balance.Waiter{Rank: r.task.Route.Rank, Deadline: r.end, Wake: func() {
			select {
			case r.room <- i:
			default:
			}
		}}
		p.service.Wait(p.waiter)
	}
}

func (r *run) launch(i int, s *balance.Server, hedge, repeat bool, now time.Time) {
	p := &r.parts[i]
	c := &call{run: r, part: i, server: s, repeat: repeat}
	p.calls = append(p.calls, c)
	p.tried = append(p.tried, s)
	p.started++
	p.attempts++
	r.stats.Calls++
	if hedge {
		r.stats.Hedges++
	} else if repeat {
		r.stats.Repeats++
	}
	if r.task.Route.Idempotent {
		p.next = now.Add(r.task.State.HedgeDelay())
	}
	go c.do()
}

// receive takes in the end of a call.
func (r *run) receive(e event, now time.Time) {
	p := &r.parts[e.call.part]
	p.remove(e.call)
	switch verdict(e) {
	case notSent:
		p.attempts--
		r.refused++
		if e.call.repeat {
			p.service.Budget.Refund(now)
		}
	case refused:
		p.attempts--
		r.refused++
	case failed:
		if e.reply != nil {
			p.failure = e.reply
		}
		if errors.Is(e.err, conn.ErrBroken) {
			r.stats.Lost++
		}
		if !r.task.Route.Idempotent {
			r.close(p)
			return
		}
	case succeeded:
		if !p.closed {
			p.reply = e.reply
			r.have++
			r.close(p)
		}
		return
	}
	if p.closed || len(p.calls) > 0 || p.helped {
		return
	}
	p.next = time.Time{}
	if p.started >= maxCalls || p.attempts >= r.task.Route.MaxAttempts {
		r.close(p)
		return
	}
	r.start(e.call.part, now)
}

// close ends the work on a part.
func (r *run) close(p *part) {
	if !p.closed {
		p.closed = true
		r.open--
	}
}

func (p *part) remove(c *call) {
	for i, x := range p.calls {
		if x == c {
			p.calls = append(p.calls[:i], p.calls[i+1:]...)
			return
		}
	}
}

// finish leaves queues and bounds the calls that go on after the answer.
func (r *run) finish() {
	r.stop()
	if r.cancelPeer != nil {
		r.cancelPeer(false)
	}
	now := time.Now()
	for i := range r.parts {
		p := &r.parts[i]
		if p.waiter != nil {
			p.service.Leave(p.waiter)
		}
		for _, c := range p.calls {
			c.linger(now)
		}
	}
}

// abort ends all calls, since nobody wants their replies.
func (r *run) abort() {
	if r.cancelPeer != nil {
		r.cancelPeer(true)
		r.cancelPeer = nil
	}
	for i := range r.parts {
		for _, c := range r.parts[i].calls {
			c.abort()
		}
	}
}
