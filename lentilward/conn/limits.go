package conn

import (
	"io"
	"sync/atomic"

	"lentilward.org/lentilward/memory"
)

const (
	// maxHeadBytes bounds the head of a reply.
	maxHeadBytes = 64 << 10
	// maxBodyBytes bounds the body of a reply.
	maxBodyBytes = 16 << 20
	// serverShareDivisor bounds the share of the memory that the large replies of one
	// server take while they are read, so that one faulty server leaves some to others.
	serverShareDivisor = 4
	// maxKeptBufferBytes is the size up to which a connection keeps the buffer of its
	// last request.
	maxKeptBufferBytes = 16 << 10
)

// limitedSource reads the bytes of one connection and fails with ErrReplyTooLarge or
// memory.ErrExhausted when a reply exceeds a limit: a server may send bytes without end.
type limitedSource struct {
	conn io.Reader
	// left is how many more bytes the present part of the reply may have.
	left int64
	// hold is the memory of the reply, of which large is counted in large replies of the
	// server as well.
	hold         *memory.Hold
	limit        *memory.Limit
	large        int64
	largeReplies *atomic.Int64
}

// expectHead sets the limits for the head of a reply. What was read before is given back.
func (s *limitedSource) expectHead(limit *memory.Limit) {
	s.release()
	s.left, s.limit = maxHeadBytes, limit
	if s.hold == nil {
		s.hold = limit.NewHold()
	}
}

// expectBody sets the limits for the body of a reply.
func (s *limitedSource) expectBody() { s.left = maxBodyBytes }

// release gives back the memory taken for a reply.
func (s *limitedSource) release() {
	s.hold.Empty()
	s.largeReplies.Add(-s.large)
	s.large = 0
}

// Read reads from the connection within the limits.
func (s *limitedSource) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, ErrReplyTooLarge
	}
	b = b[:min(int64(len(b)), s.left)]
	n, err := s.conn.Read(b)
	s.left -= int64(n)
	if s.hold == nil || n == 0 {
		return n, err
	}
	if failure := s.hold.Take(int64(n)); failure != nil {
		return 0, failure
	}
	if s.limit != nil && s.hold.Bytes() > memory.SmallBytes {
		s.large += int64(n)
		if s.largeReplies.Add(int64(n)) > s.limit.Max()/serverShareDivisor {
			return 0, ErrReplyTooLarge
		}
	}
	return n, err
}
