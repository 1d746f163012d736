package conn

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

// replySkew is how much later a reply may be read than the end of another connection that
// the server closed after it.
const replySkew = 10 * time.Millisecond

// IsAliveSince reports whether the server process that ran at a time is known to live on: it
// has replied since, or a connection that was open then still is. false means that this is
// not known.
func (p *Pool) IsAliveSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastReply.After(at.Add(replySkew)) {
		return true
	}
	for _, c := range p.idle {
		if c.openedAt.Before(at) && c.isHealthy() {
			return true
		}
	}
	return false
}

// IsRefused opens a connection, also above the limit, and reports whether it was refused:
// no process listens at the address. It returns the connection to the pool.
func (p *Pool) IsRefused(ctx context.Context) bool {
	err := p.Probe(ctx)
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// timesOut reports whether a connection that is no socket of the system is open: a read of
// it then waits.
func (c *Conn) timesOut() bool {
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	_, err := c.Conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}
