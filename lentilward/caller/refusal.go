// Package caller serves the requests of callers: it admits them, searches the
// shards of their services and merges the replies.
package caller

import (
	"context"
	"errors"
	"fmt"

	"lentilward.org/schema/domain"
)

// notRunRefusal returns the refusal of a request for which no backend server
// was called.
func notRunRefusal(reason domain.Reason, format string, args ...any) *domain.Refusal {
	return &domain.Refusal{Reason: reason, Outcome: domain.NotRun, Message: fmt.Sprintf(format, args...)}
}

// asRefusal returns the refusal that an error wraps. For any other error it
// returns a refusal with the outcome Unknown.
func asRefusal(err error) *domain.Refusal {
	var refusal *domain.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	reason := domain.Failed
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		reason = domain.TimedOut
	}
	return &domain.Refusal{Reason: reason, Outcome: domain.Unknown, Message: err.Error()}
}
