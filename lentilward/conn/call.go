package conn

import (
	"bufio"
	"errors"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/schema/domain"
)

// maxStrays is the number of replies to earlier requests that one call skips.
const maxStrays = 2

// Errors of a call.
var (
	// ErrNotSent means that no byte of the request has left.
	ErrNotSent = merry.Sentinel("request was not sent")
	// ErrSilent means that no reply came in time.
	ErrSilent = merry.Sentinel("no reply in time")
	// ErrBroken means that the connection ended before a whole reply, or that
	// its bytes are not a reply.
	ErrBroken = merry.Sentinel("no whole reply")
	// ErrStray means that the replies belong to other requests.
	ErrStray = merry.Sentinel("reply belongs to another request")
)

// Codec is how requests and replies are written on a connection.
type Codec struct {
	// AppendCall writes a request for the server with this id.
	AppendCall func(b []byte, r *domain.Request, serverID string, timeLeft time.Duration) []byte
	// ReadReply reads one whole reply.
	ReadReply func(r *bufio.Reader, method string) (*domain.Reply, error)
}

// Call sends a request and reads its reply until the deadline of the
// connection. It tells whether the connection can be used again; End must be
// called.
func (c *Conn) Call(codec Codec, r *domain.Request, serverID string, end time.Time) (_ *domain.Reply, reusable bool, _ error) {
	c.buffer = codec.AppendCall(c.buffer[:0], r, serverID, time.Until(end))
	if n, err := c.Write(c.buffer); err != nil {
		if n == 0 {
			return nil, false, merry.Prepend(ErrNotSent, err.Error())
		}
		return nil, false, merry.Prepend(ErrBroken, err.Error())
	}
	for strays := 0; strays <= maxStrays; strays++ {
		reply, err := codec.ReadReply(c.reader, r.Method)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, false, ErrSilent
			}
			return nil, false, merry.Prepend(ErrBroken, err.Error())
		}
		if !answers(reply, r) {
			continue
		}
		if reply.KeepAlive > 0 {
			c.idleFor = max(0, reply.KeepAlive-idleMargin)
		}
		return reply, strays == 0 && !reply.Close && c.reader.Buffered() == 0, nil
	}
	return nil, false, ErrStray
}

// End gives the connection back if it can be used again, or closes it.
func (c *Conn) End(reusable bool) {
	if reusable {
		c.Release()
	} else {
		c.Discard()
	}
}

// answers tells whether a reply is to this request. A server that refuses may
// leave the id out.
func answers(reply *domain.Reply, r *domain.Request) bool {
	return reply.RequestID == r.ID || reply.RequestID == "" && reply.NotRun
}
