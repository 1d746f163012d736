package conn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilward/memory"
	"lentilward.org/schema/domain"
)

// maxSkippedReplies bounds the replies to earlier requests that one call skips.
const maxSkippedReplies = 2

// Errors of a call.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = merry.Sentinel("request was not sent")
	// ErrReplyTimeout means that no complete reply arrived before the deadline of
	// the connection, or that the connection has gone silent.
	ErrReplyTimeout = merry.Sentinel("no reply before the deadline")
	// ErrIncompleteReply means that the connection was lost before a complete
	// reply arrived, or that the bytes received are not a valid reply.
	ErrIncompleteReply = merry.Sentinel("no complete reply")
	// ErrConnectionReset means that the server reset a new connection before any reply.
	// The request may have run.
	ErrConnectionReset = merry.Sentinel("new connection was reset")
	// ErrReplyTooLarge means that the reply exceeded a limit before its end.
	ErrReplyTooLarge = merry.Sentinel("reply is too large")
	// ErrReplyMismatch means that the replies received belong to other requests.
	ErrReplyMismatch = merry.Sentinel("reply belongs to another request")
)

// Codec encodes requests and decodes replies.
type Codec struct {
	// AppendCall appends to b the encoded request for the backend server with
	// serverID. timeLeft is the time until the caller's deadline.
	AppendCall func(b []byte, r *domain.Request, serverID string, timeLeft time.Duration) []byte
	// ReadReply reads one complete reply to a request with this method, and calls
	// onBody when the body begins.
	ReadReply func(r *bufio.Reader, method string, onBody func()) (*domain.Reply, error)
	// Memory bounds the memory of replies. nil sets no bound.
	Memory *memory.Limit
}

// Call sends a request and reads its reply until the deadline of the
// connection. The request carries the time left until deadline. The result
// reusable says whether the connection can be reused, and must be passed to
// ReleaseOrDiscard. The memory of the reply goes to hold, unless that is nil. Call fails with
// ErrNotSent, ErrReplyTimeout, ErrIncompleteReply, ErrConnectionReset, ErrReplyTooLarge,
// ErrReplyMismatch, domain.ErrInvalidStatus or memory.ErrExhausted.
func (c *Conn) Call(codec Codec, hold *memory.Hold, r *domain.Request, serverID string, deadline time.Time) (_ *domain.Reply, reusable bool, _ error) {
	c.writeBuffer = codec.AppendCall(c.writeBuffer[:0], r, serverID, time.Until(deadline))
	n, err := c.Write(c.writeBuffer)
	if cap(c.writeBuffer) > maxKeptBufferBytes {
		c.writeBuffer = nil
	}
	if err != nil {
		if n == 0 {
			return nil, false, merry.Prepend(ErrNotSent, err.Error())
		}
		return nil, false, c.describeLoss(err)
	}
	defer c.source.release()
	for skipped := 0; skipped <= maxSkippedReplies; skipped++ {
		c.source.expectHead(codec.Memory)
		reply, err := codec.ReadReply(c.reader, r.Method, c.source.expectBody)
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
			return nil, false, ErrReplyTimeout
		case errors.Is(err, ErrReplyTooLarge), errors.Is(err, memory.ErrExhausted), errors.Is(err, domain.ErrInvalidStatus):
			return nil, false, err
		default:
			return nil, false, c.describeLoss(err)
		}
		if reply.RequestID == "" && reply.NotRun && c.lastRequestID != "" {
			return nil, false, merry.Prepend(ErrReplyMismatch, "refusal without a request ID on a reused connection")
		}
		if !isReplyTo(reply, r) {
			continue
		}
		hold.Adopt(c.source.hold)
		c.lastRequestID = r.ID
		c.pool.recordReply()
		if reply.KeepAlive > 0 {
			c.idleTimeout = max(0, reply.KeepAlive-idleTimeoutMargin)
		}
		return reply, skipped == 0 && !reply.Close && c.reader.Buffered() == 0, nil
	}
	return nil, false, ErrReplyMismatch
}

// ReleaseOrDiscard returns a reusable connection to its pool and closes any
// other.
func (c *Conn) ReleaseOrDiscard(reusable bool) {
	if reusable {
		c.Release()
	} else {
		c.Discard()
	}
}

// describeLoss returns the error of a call whose connection was lost.
func (c *Conn) describeLoss(err error) error {
	if c.lastRequestID == "" && c.reader.Buffered() == 0 && errors.Is(err, syscall.ECONNRESET) {
		return merry.Prepend(ErrConnectionReset, err.Error())
	}
	return fmt.Errorf("%w: %w", ErrIncompleteReply, err)
}

// IsConnectionLost reports whether a call failed since its connection ended, and not
// because of the bytes that the server sent.
func IsConnectionLost(err error) bool {
	return errors.Is(err, ErrIncompleteReply) &&
		(errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) ||
			errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// HasCarried reports whether the latest call on the connection was of the request with
// this ID.
func (c *Conn) HasCarried(requestID string) bool { return c.lastRequestID == requestID }

// isReplyTo reports whether a reply belongs to this request. A server that
// refuses a request may leave the request ID out; on a reused connection such a
// refusal may be a late copy of one for an earlier request.
func isReplyTo(reply *domain.Reply, r *domain.Request) bool {
	return reply.RequestID == r.ID || reply.RequestID == "" && reply.NotRun
}
