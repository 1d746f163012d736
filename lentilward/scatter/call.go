package scatter

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/schema/domain"
)

// lingerTime is how long a call may go on that lost to a hedge or came too
// late for the answer: a connection that is kept is cheaper than a new one.
const lingerTime = time.Second

// Phases of a call.
const (
	running int32 = iota
	// overdue calls take longer than most.
	overdue
	ended
)

// call is one request to one server.
type call struct {
	run    *run
	part   int
	server *balance.Server
	repeat bool
	phase  atomic.Int32

	mu sync.Mutex
	// conn is set while the call uses it.
	conn *conn.Conn
	// dropped calls are not sent any more, aborted ones are cut.
	dropped, aborted bool
}

// do makes the call and reports its end.
func (c *call) do() {
	begin := time.Now()
	reply, err := c.exchange()
	if c.phase.Swap(ended) == overdue {
		c.server.InTime()
	}
	c.learn(reply, err, begin)
	c.run.parts[c.part].service.Release(c.server)
	c.run.events <- event{call: c, reply: reply, err: err}
}

func (c *call) exchange() (*domain.Reply, error) {
	x, err := c.server.Pool.Get(c.run.dials)
	if err != nil {
		return nil, err
	}
	if !c.take(x) {
		x.End(true)
		return nil, conn.ErrNotSent
	}
	reply, reusable, err := x.Call(c.run.engine.codec, c.run.task.Request, c.server.ID, c.run.end)
	c.mu.Lock()
	c.conn = nil
	c.mu.Unlock()
	x.End(reusable)
	return reply, err
}

// take makes the connection the call's own, unless the call is not wanted any
// more.
func (c *call) take(x *conn.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropped || c.server.Out() || x.SetDeadline(c.run.end.Add(endMargin)) != nil {
		return false
	}
	c.conn = x
	return true
}

// learn notes what the call tells about the server.
func (c *call) learn(reply *domain.Reply, err error, begin time.Time) {
	now := time.Now()
	c.mu.Lock()
	dropped, aborted := c.dropped, c.aborted
	c.mu.Unlock()
	if aborted {
		return
	}
	switch {
	case errors.Is(err, conn.ErrUnreachable):
		if !dropped {
			c.server.Unreachable(now)
		}
	case errors.Is(err, conn.ErrFull), errors.Is(err, conn.ErrNotSent):
	case errors.Is(err, conn.ErrSilent):
		c.server.Pool.Silent(begin)
		c.server.Silent(begin, now)
	case err != nil:
		c.server.Broke(now)
	case reply.Elsewhere:
		c.server.Elsewhere(now)
	case reply.NotRun:
		c.server.Full(now)
	default:
		took := now.Sub(begin)
		c.server.Replied(c.run.task.State.Slowness(took), !reply.OK(), now)
		if reply.OK() {
			c.run.task.State.Observe(took)
		}
	}
	if reply != nil && reply.ColdFor > 0 {
		c.server.SetCold(now.Add(reply.ColdFor))
	}
}

// late notes that the call takes longer than most.
func (c *call) late() {
	if c.phase.CompareAndSwap(running, overdue) {
		c.server.Overdue()
	}
}

// linger lets the call go on for a while without its request.
func (c *call) linger(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped = true
	if c.conn != nil && !c.aborted {
		c.conn.SetReadDeadline(now.Add(lingerTime))
	}
}

// abort cuts the call.
func (c *call) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped, c.aborted = true, true
	if c.conn != nil {
		c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Verdicts on a call.
type judgement uint8

const (
	// notSent calls never reached a server.
	notSent judgement = iota
	// refused calls reached a server that did not run them.
	refused
	// failed calls have run or may have.
	failed
	succeeded
)

func verdict(e event) judgement {
	switch {
	case errors.Is(e.err, conn.ErrUnreachable), errors.Is(e.err, conn.ErrNotSent), errors.Is(e.err, conn.ErrFull):
		return notSent
	case e.err != nil:
		return failed
	case e.reply.NotRun:
		return refused
	case e.reply.OK():
		return succeeded
	}
	return failed
}
