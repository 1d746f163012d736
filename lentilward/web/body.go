package web

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"lentilward.org/lentilward/directory"
	"lentilward.org/lentilward/memory"
	"lentilward.org/schema/domain"
)

const (
	// defaultMaxBodyBytes bounds the body of a request where the configuration
	// has no limit.
	defaultMaxBodyBytes = 1 << 20
	// largeAnswerBytes is the size from which on an answer may have to wait until its
	// caller reads, and answerWriteTimeout how long it then waits.
	largeAnswerBytes   = 64 << 10
	answerWriteTimeout = 30 * time.Second
	// memoryRetryDelay is the Retry-After of requests that are refused because there is
	// no memory for their bodies.
	memoryRetryDelay = 200 * time.Millisecond
)

// readBody reads the whole body. If the body is incomplete, the caller has closed
// its connection and the request counts as abandoned, unless the server is stopping.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, request *domain.Request, snapshot *directory.Snapshot) *domain.Refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := snapshot.Configuration.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	interrupt := bodyInterrupt{control: http.NewResponseController(w)}
	detach := context.AfterFunc(s.bodiesContext, interrupt.fire)
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	detach()
	if interrupted, failure := interrupt.disarm(); interrupted {
		return &domain.Refusal{Reason: domain.Stopping, Message: "instance is shutting down; the request body is not complete"}
	} else if failure != nil {
		s.log.Warn("interrupting the read of a body failed", "request-id", request.ID, "error", failure)
	}
	if errors.Is(err, memory.ErrExhausted) {
		return &domain.Refusal{Reason: domain.Overloaded, RetryAfter: memoryRetryDelay, Message: "no memory is left for the request body"}
	}
	if err != nil {
		return &domain.Refusal{Reason: domain.Abandoned, Message: fmt.Sprintf("read request body: %v", err)}
	}
	if int64(len(body)) > limit {
		return &domain.Refusal{Reason: domain.TooLarge, Message: fmt.Sprintf("request body is larger than %d bytes", limit)}
	}
	request.Body = body
	return nil
}

// bodyInterrupt ends the read of a body from another goroutine. Once disarmed it leaves
// the connection alone: a read that fails later means that the caller has disconnected.
type bodyInterrupt struct {
	control *http.ResponseController

	mu              sync.Mutex
	fired, disarmed bool
	failure         error
}

// fire makes the read fail, unless the interrupt has been disarmed.
func (i *bodyInterrupt) fire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.disarmed {
		return
	}
	i.failure = i.control.SetReadDeadline(time.Now())
	i.fired = i.failure == nil
}

// disarm reports whether the interrupt has fired, and the error of an attempt to.
func (i *bodyInterrupt) disarm() (fired bool, failure error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disarmed = true
	return i.fired, i.failure
}

// writeBody writes the body of an answer. A caller that does not read a large one must not
// keep its memory.
func writeBody(w http.ResponseWriter, body []byte) error {
	if len(body) <= largeAnswerBytes {
		_, err := w.Write(body)
		return err
	}
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(time.Now().Add(answerWriteTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(body); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	return control.SetWriteDeadline(time.Time{})
}
