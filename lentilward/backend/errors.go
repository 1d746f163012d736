package backend

import (
	"errors"

	"github.com/ansel1/merry/v2"

	"lentilward.org/schema/domain"
)

// Errors of a task.
var (
	// ErrNoServer means that no holder of the shard is usable.
	ErrNoServer = merry.Sentinel("no usable backend server")
	// ErrMismatch means that a reply names another request, attempt, service,
	// version or shard than the call did.
	ErrMismatch = merry.Sentinel("reply does not match the request")
)

// isNotRun reports whether an error means that the server refused the request
// without running it.
func isNotRun(err error) bool {
	return errors.Is(err, domain.ErrRefused) || errors.Is(err, domain.ErrVersionNotHeld)
}
