// Package memory bounds the bytes that an instance holds of what others send to it.
package memory

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// SmallBytes is the size up to which a message counts as small.
const SmallBytes = 16 << 10

// ErrExhausted means that there is no memory left for a message.
var ErrExhausted = merry.Sentinel("no memory is left for the message")

// Limit bounds the bytes of messages that are held at the same time, from their first
// byte until they are no longer needed. Large messages leave half of it to small ones. A
// nil Limit sets no bound.
type Limit struct {
	max  int64
	used atomic.Int64
}

// New returns a limit of this many bytes.
func New(bytes int64) *Limit { return &Limit{max: bytes} }

// Used returns the number of bytes that are held; 0 without a limit.
func (l *Limit) Used() int64 {
	if l == nil {
		return 0
	}
	return l.used.Load()
}

// Max returns the number of bytes that may be held.
func (l *Limit) Max() int64 { return l.max }

// take counts n more bytes of a message and reports whether it may hold them. length is
// the length of the message with them.
func (l *Limit) take(n, length int64) bool {
	if l == nil {
		return true
	}
	bound := l.max
	if length > SmallBytes {
		bound /= 2
	}
	if l.used.Add(n) <= bound {
		return true
	}
	l.used.Add(-n)
	return false
}

func (l *Limit) give(n int64) {
	if l != nil {
		l.used.Add(-n)
	}
}

// Hold is what one message, or all messages of one request, hold of a limit. Its methods
// may be called concurrently. A nil Hold holds nothing and sets no bound.
type Hold struct {
	limit    *Limit
	mu       sync.Mutex
	bytes    int64
	released bool
}

// NewHold returns a hold without bytes.
func (l *Limit) NewHold() *Hold { return &Hold{limit: l} }

// Take adds n bytes to the hold, which is of one message, or returns ErrExhausted.
func (h *Hold) Take(n int64) error {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released || !h.limit.take(n, h.bytes+n) {
		return ErrExhausted
	}
	h.bytes += n
	return nil
}

// reserveDivisor is the part of the memory left to large messages that one reservation
// takes at most.
const reserveDivisor = 16

// Reserve takes memory for a message of unknown length and returns it with the length that
// the message may have: at most the given one, less the more memory is used, and SmallBytes
// at least. It fails with ErrExhausted. Without a limit the hold is nil.
func (l *Limit) Reserve(most int64) (*Hold, int64, error) {
	if l == nil {
		return nil, most, nil
	}
	length := min(most, max(SmallBytes, (l.max/2-l.Used())/reserveDivisor))
	h := l.NewHold()
	if err := h.Take(length); err != nil {
		return nil, 0, err
	}
	return h, length, nil
}

// Shrink gives back what the hold has beyond n bytes.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes > n {
		h.limit.give(h.bytes - n)
		h.bytes = n
	}
}

// contextKey is the key of a request's hold in its context.
type contextKey struct{}

// NewContext returns a context that carries the hold of a request.
func NewContext(ctx context.Context, h *Hold) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// FromContext returns the hold of the request; nil if there is none.
func FromContext(ctx context.Context) *Hold {
	h, _ := ctx.Value(contextKey{}).(*Hold)
	return h
}

// Bytes returns the number of bytes held.
func (h *Hold) Bytes() int64 {
	if h == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes
}

// Adopt moves the bytes of another hold of the same limit to this one, or releases them if
// this one has been released.
func (h *Hold) Adopt(other *Hold) {
	if other == nil {
		return
	}
	if h == nil {
		other.Empty()
		return
	}
	other.mu.Lock()
	n := other.bytes
	other.bytes = 0
	other.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		h.limit.give(n)
		return
	}
	h.bytes += n
}

// Empty gives the bytes back; the hold may take others.
func (h *Hold) Empty() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit.give(h.bytes)
	h.bytes = 0
}

// Release gives the bytes back for good: what the hold gets later it gives back at once.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit.give(h.bytes)
	h.bytes, h.released = 0, true
}
