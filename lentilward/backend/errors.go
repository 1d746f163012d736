package backend

import (
	"context"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/schema/backendpb"
)

// Errors of a task.
var (
	// ErrVersionGone means that no holder has the pinned version any more.
	ErrVersionGone = merry.Sentinel("version is gone")
	// ErrNoServer means that no holder of the shard can be used.
	ErrNoServer = merry.Sentinel("no backend server")
	// ErrLost means that the server went away during the call.
	ErrLost = merry.Sentinel("backend server lost")
	// ErrMismatch means that a reply was not the one asked for.
	ErrMismatch = merry.Sentinel("reply does not match the request")
	// ErrRefused means that the server refused before it ran the request.
	ErrRefused = merry.Sentinel("refused by the backend server")
)

// classify turns the error of a call into one of this package and tells
// whether the server refused before it ran the request.
func classify(err error) (_ error, notRun bool) {
	if refusal, ok := refusalOf(err); ok {
		switch refusal.Reason {
		case backendpb.RefusalReason_REFUSAL_REASON_VERSION_UNKNOWN,
			backendpb.RefusalReason_REFUSAL_REASON_SHARD_UNKNOWN:
			return ErrVersionGone, true
		}
		return ErrRefused, true
	}
	switch status.Code(err) {
	case codes.Unavailable:
		return ErrLost, false
	case codes.DeadlineExceeded:
		return context.DeadlineExceeded, false
	case codes.Canceled:
		return context.Canceled, false
	}
	return err, false
}

func refusalOf(err error) (*backendpb.Refusal, bool) {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*backendpb.Refusal); ok {
			return r, true
		}
	}
	return nil, false
}
