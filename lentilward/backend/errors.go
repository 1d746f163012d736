package backend

import (
	"errors"

	"github.com/ansel1/merry/v2"

	"lentilward.org/schema/domain"
)

// Errors of a task.
var (
	// ErrNoServer means that no holder of the shard can be used.
	ErrNoServer = merry.Sentinel("no backend server")
	// ErrMismatch means that a reply was not the one asked for.
	ErrMismatch = merry.Sentinel("reply does not match the request")
)

// notRun tells whether the server refused before it ran the request.
func notRun(err error) bool {
	return errors.Is(err, domain.ErrRefused) || errors.Is(err, domain.ErrVersionGone)
}
