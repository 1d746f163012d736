package conn

import (
	"io"
	"sync/atomic"
)

const (
	// maxHeadBytes bounds the head of a reply.
	maxHeadBytes = 64 << 10
	// maxBodyBytes bounds the body of a reply.
	maxBodyBytes = 16 << 20
	// freeBytes is the part of a body that is not counted in Memory.
	freeBytes = 64 << 10
)

// Memory bounds the memory of all the replies that are being read. The first bytes
// of each reply are free, so that large replies don't keep small ones out.
type Memory struct{ left atomic.Int64 }

// NewMemory returns a bound of this many bytes.
func NewMemory(bytes int64) *Memory {
	m := &Memory{}
	m.left.Store(bytes)
	return m
}

func (m *Memory) take(bytes int64) bool {
	if m.left.Add(-bytes) >= 0 {
		return true
	}
	m.left.Add(bytes)
	return false
}

// limitedSource reads the bytes of one connection and fails with ErrReplyTooLarge
// when a reply exceeds a limit: a server may send bytes without end.
type limitedSource struct {
	conn io.Reader
	// left is how many more bytes the present part of the reply may have.
	left int64
	// uncounted is how many more bytes are not counted in memory, and taken how many
	// were.
	uncounted, taken int64
	memory           *Memory
}

// expectHead sets the limits for the head of a reply.
func (s *limitedSource) expectHead(memory *Memory) {
	s.left, s.uncounted, s.memory = maxHeadBytes, maxHeadBytes, memory
}

// expectBody sets the limits for the body of a reply.
func (s *limitedSource) expectBody() { s.left, s.uncounted = maxBodyBytes, freeBytes }

// release gives back the memory taken for a reply.
func (s *limitedSource) release() {
	if s.taken > 0 {
		s.memory.left.Add(s.taken)
		s.taken = 0
	}
}

// Read reads from the connection within the limits.
func (s *limitedSource) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, ErrReplyTooLarge
	}
	b = b[:min(int64(len(b)), s.left)]
	n, err := s.conn.Read(b)
	s.left -= int64(n)
	s.uncounted -= int64(n)
	if s.uncounted < 0 && s.memory != nil {
		over := -s.uncounted
		s.uncounted = 0
		if !s.memory.take(over) {
			return 0, ErrReplyTooLarge
		}
		s.taken += over
	}
	return n, err
}
