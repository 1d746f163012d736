package scatter

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/memory"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/domain"
)

// lingerTimeout is how long a call may go on after another call replied first or
// the request was answered without it. Waiting for the reply leaves the
// connection reusable, which is cheaper than opening a new one.
const lingerTimeout = time.Second

// Phases of a call.
const (
	running int32 = iota
	// overdue calls have run longer than the hedge delay.
	overdue
	ended
)

// call is one exchange with one backend server.
type call struct {
	run       *run
	partIndex int
	server    *balance.Server
	// hedge is set for a call beside another one, extra for each but the first.
	hedge, extra bool
	begin        time.Time
	// sentAt is when the call got its connection; nil before.
	sentAt atomic.Pointer[time.Time]
	phase  atomic.Int32

	mu sync.Mutex
	// conn is set while the call uses it.
	conn *conn.Conn
	// detached calls are not sent if they have no connection yet; aborted calls end
	// at once and their connection is closed.
	detached, aborted bool
}

// execute makes the call and reports its result to the run.
func (c *call) execute() {
	reply, err := c.exchange()
	if c.phase.Swap(ended) == overdue {
		c.server.RemoveOverdueCall()
	}
	now := time.Now()
	c.recordResult(reply, err, now)
	c.reportEnd(reply, err, now)
	if service := c.run.parts[c.partIndex].service; c.sentAt.Load() != nil {
		service.Release(c.server)
	} else {
		service.Cancel(c.server)
	}
	c.run.results <- callResult{call: c, reply: reply, err: err}
}

func (c *call) exchange() (*domain.Reply, error) {
	connection, err := c.getConn()
	if err != nil {
		return nil, err
	}
	if !c.attachConn(connection) {
		connection.ReleaseOrDiscard(true)
		return nil, conn.ErrNotSent
	}
	sentAt := time.Now()
	c.sentAt.Store(&sentAt)
	c.server.RecordSent(c.hedge, c.extra)
	reply, reusable, err := connection.Call(c.run.engine.codec, c.run.task.Hold, c.run.task.Request, c.server.ID, c.run.callDeadline)
	c.mu.Lock()
	c.conn = nil
	c.mu.Unlock()
	connection.ReleaseOrDiscard(reusable)
	return reply, err
}

// getConn gets a connection to the server. A request that may run only once gets none
// that has carried it before: a late copy of the first refusal could not be told from
// the reply to the retry.
func (c *call) getConn() (*conn.Conn, error) {
	for {
		connection, err := c.server.Pool.Get(c.run.dialContext)
		if err != nil || c.run.task.Route.Idempotent || !connection.HasCarried(c.run.task.Request.ID) {
			return connection, err
		}
		connection.Discard()
	}
}

// attachConn sets the connection of the call and its deadline. It returns false
// if the call must not be sent any more.
func (c *call) attachConn(connection *conn.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.detached || c.server.IsOutOfService() || connection.SetDeadline(c.run.callDeadline.Add(deadlineMargin)) != nil {
		return false
	}
	c.conn = connection
	return true
}

// recordResult updates the measurements of the server and the route.
func (c *call) recordResult(reply *domain.Reply, err error, now time.Time) {
	if reply != nil && reply.Leaving && c.run.parts[c.partIndex].service.RecordLeaving(c.server) {
		c.run.engine.OnLeaving(c.server)
	}
	switch {
	case reply == nil || reply.Misdirected:
	case reply.NamesLimit:
		c.server.RecordNamedLimit(reply.RateLimit, now)
	case reply.OK():
		c.server.RecordNoLimit(now)
	}
	c.mu.Lock()
	detached, aborted := c.detached, c.aborted
	c.mu.Unlock()
	c.recordVersion(reply, err, aborted, now)
	if aborted {
		return
	}
	switch {
	case errors.Is(err, conn.ErrUnreachable):
		if !detached {
			c.server.RecordUnreachable(now)
		}
	case errors.Is(err, conn.ErrConnectionLimit), errors.Is(err, conn.ErrNotSent), errors.Is(err, memory.ErrExhausted):
	case errors.Is(err, conn.ErrReplyTimeout):
		c.server.Pool.RecordReplyTimeout(c.begin)
		c.server.RecordReplyTimeout(c.begin, now)
	case errors.Is(err, conn.ErrConnectionReset):
		c.run.engine.OnReset(c.server, c.server.RecordReset(now))
	case err != nil:
		c.server.RecordFailedCall(now)
	case reply.Misdirected:
		c.server.RecordWrongServer(now)
	case reply.NotRun:
		c.server.RecordOverload(now)
	default:
		elapsed := now.Sub(c.begin)
		c.server.RecordReply(c.run.task.State.RelativeLatency(elapsed, now), !reply.OK(), now)
		if reply.OK() {
			c.run.task.State.Observe(elapsed, now)
		}
	}
	if reply != nil && reply.RetryAfter > 0 {
		c.server.RecordPause(now.Add(reply.RetryAfter))
	}
	if reply != nil && reply.ColdFor > 0 {
		c.server.SetCold(now.Add(reply.ColdFor))
	}
}

// reportEnd reports what the end of the call says of whether its request crashes servers,
// whoever still waits for the reply.
func (c *call) reportEnd(reply *domain.Reply, err error, now time.Time) {
	if c.sentAt.Load() == nil {
		return
	}
	r := c.run
	if reply != nil && reply.Misdirected {
		r.engine.OnReplaced(c.server)
	}
	if reply != nil && reply.OK() {
		if !r.hasRun.Swap(true) {
			r.engine.OnRan(r.fingerprint, now)
		}
		return
	}
	if r.hasRun.Load() {
		return
	}
	ended := suspect.Run{RequestID: r.task.Request.ID, Fingerprint: r.fingerprint, Server: c.server, HasRun: r.hasRun.Load}
	switch {
	case conn.IsConnectionLost(err):
		r.engine.OnLost(ended, now)
	case errors.Is(err, conn.ErrReplyTimeout):
		r.engine.OnGivenUp(ended, r.callDeadline)
	case errors.Is(err, conn.ErrConnectionReset):
		// A server resets new connections above its limit as well.
		r.engine.OnGivenUp(ended, now)
	}
}

// markOverdue marks a running call as overdue.
func (c *call) markOverdue() {
	if c.phase.CompareAndSwap(running, overdue) {
		c.server.AddOverdueCall()
	}
}

// detach lets the call go on for at most lingerTimeout after its request has
// ended.
func (c *call) detach(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detached = true
	if c.conn != nil && !c.aborted {
		c.conn.SetReadDeadline(now.Add(lingerTimeout))
	}
}

// abort ends the call at once.
func (c *call) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detached, c.aborted = true, true
	if c.conn != nil {
		c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// callStatus classifies the result of a call by whether the server ran it.
type callStatus uint8

const (
	// notSent calls were not sent to a server.
	notSent callStatus = iota
	// refused calls reached a server that did not run them.
	refused
	// failed calls have run, or may have, without success.
	failed
	succeeded
)

func classify(result callResult) callStatus {
	switch {
	case errors.Is(result.err, conn.ErrUnreachable), errors.Is(result.err, conn.ErrNotSent), errors.Is(result.err, conn.ErrConnectionLimit):
		return notSent
	case result.err != nil:
		return failed
	case result.reply.NotRun:
		return refused
	case result.reply.OK():
		return succeeded
	}
	return failed
}
