package quota

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// urgentDelay is how long a question for which requests wait is held back for others to
	// the same instance, and relaxedDelay one that asks ahead of need.
	urgentDelay  = time.Millisecond
	relaxedDelay = 20 * time.Millisecond
	// maxBatch bounds the questions in one message.
	maxBatch = 128
)

// errIncomplete means that an instance has not replied to each question.
var errIncomplete = errors.New("not all questions were answered")

// Question is an Ask as it is sent. Final is set if the receiver must answer it, also if it
// considers another instance the home.
type Question struct {
	Ask
	Final bool `cbor:"final,omitempty"`
}

// Batcher collects the questions to each instance for a moment and sends them together: a
// search asks for tokens of many servers at once.
type Batcher[P comparable] struct {
	// Send sends questions and returns the replies in their order.
	Send func(ctx context.Context, to P, questions []Question) ([]Reply[P], error)

	mu      sync.Mutex
	pending map[P]*batch[P]
}

// batch has the questions that wait to be sent to one instance.
type batch[P comparable] struct {
	questions []Question
	replies   []Reply[P]
	err       error
	timer     *time.Timer
	urgent    bool
	// sent is set once the batch is sent. Its timer may fire again, since it can be set anew
	// while it fires.
	sent bool
	// done is closed once replies and err are set.
	done chan struct{}
}

// NewBatcher returns a Batcher that sends with a function.
func NewBatcher[P comparable](send func(ctx context.Context, to P, questions []Question) ([]Reply[P], error)) *Batcher[P] {
	return &Batcher[P]{Send: send, pending: make(map[P]*batch[P])}
}

// Ask sends a question together with others, and returns its reply.
func (b *Batcher[P]) Ask(ctx context.Context, to P, a Ask, final bool) (Reply[P], error) {
	sent, i := b.add(to, Question{Ask: a, Final: final})
	select {
	case <-sent.done:
	case <-ctx.Done():
		return Reply[P]{}, ctx.Err()
	}
	if sent.err != nil {
		return Reply[P]{}, sent.err
	}
	return sent.replies[i], nil
}

// add adds a question to the batch of an instance and returns its place.
func (b *Batcher[P]) add(to P, q Question) (*batch[P], int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.pending[to]
	if current == nil {
		current = &batch[P]{done: make(chan struct{})}
		current.timer = time.AfterFunc(relaxedDelay, func() { b.flush(to, current) })
		b.pending[to] = current
	}
	current.questions = append(current.questions, q)
	if q.Need > 0 && !current.urgent {
		current.urgent = true
		current.timer.Reset(urgentDelay)
	}
	if len(current.questions) >= maxBatch {
		delete(b.pending, to)
		current.timer.Reset(0)
	}
	return current, len(current.questions) - 1
}

// flush sends a batch.
func (b *Batcher[P]) flush(to P, current *batch[P]) {
	b.mu.Lock()
	if b.pending[to] == current {
		delete(b.pending, to)
	}
	sent := current.sent
	current.sent = true
	b.mu.Unlock()
	if sent {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	current.replies, current.err = b.Send(ctx, to, current.questions)
	if current.err == nil && len(current.replies) != len(current.questions) {
		current.err = errIncomplete
	}
	close(current.done)
}
