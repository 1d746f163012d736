package blackboard

import "time"

// SuspectRequest is a request during which backend servers were lost. It is immutable.
type SuspectRequest struct {
	Fingerprint uint64
	// Lost has the latest of the servers that were lost while they ran the request, oldest
	// first. None was lost before RanAt.
	Lost []LostServer
	// RanAt is when a server last answered the request with success; zero if none is known
	// to have. RunID identifies that run on all instances.
	RanAt time.Time
	RunID uint64
	// Proven is set if a server had answered the request with success before the losses.
	Proven bool
	// RefusedAt is since when the request is refused; zero if it is not.
	RefusedAt time.Time
	// Trials counts the trials since RefusedAt, and TrialAt is when the latest ended.
	Trials  int
	TrialAt time.Time
	// FromStore is set while only the record in the store says that the request is refused,
	// which may be older than what instances know.
	FromStore bool
}

// LostServer is a server process that was lost while it ran a request.
type LostServer struct {
	// Process identifies the process on all instances, and Request the request of a caller
	// with which it was lost.
	Process, Request uint64
	At               time.Time
}

// IsRefused reports whether the request is refused but for trials.
func (r SuspectRequest) IsRefused() bool { return !r.RefusedAt.IsZero() }

// SuspectRequests holds the suspect requests by fingerprint. It is immutable.
type SuspectRequests struct {
	ByFingerprint map[uint64]SuspectRequest
	// Suspected counts those that have lost servers since they last ran, and Refused those
	// that are refused.
	Suspected, Refused int
}
