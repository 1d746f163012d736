// Package caller serves the requests of callers.
package caller

import (
	"context"
	"errors"
	"fmt"

	"lentilward.org/schema/domain"
)

// notRun is a refusal before any backend server was called.
func notRun(reason domain.Reason, format string, args ...any) *domain.Refusal {
	return &domain.Refusal{Reason: reason, Outcome: domain.NotRun, Message: fmt.Sprintf(format, args...)}
}

// asRefusal returns the refusal that an error is.
func asRefusal(err error) *domain.Refusal {
	var r *domain.Refusal
	if errors.As(err, &r) {
		return r
	}
	reason := domain.Failed
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		reason = domain.TimedOut
	}
	return &domain.Refusal{Reason: reason, Outcome: domain.Unknown, Message: err.Error()}
}
