// Package caller sends open-loop load to the caller interface and records how
// each request ended.
package caller

import (
	"time"

	"lentilward.org/schema/callerpb"
)

// EndState is how a request ended.
type EndState string

// The ways in which a request ends.
const (
	// Answered means that a complete answer arrived; the answer to a search is
	// complete once its summary has arrived.
	Answered EndState = "answered"
	// Refused means that the error carried a Refusal with reason and outcome.
	Refused EndState = "refused"
	// Unanswered means that the request failed without a Refusal, for example
	// because the connection was lost or the deadline passed.
	Unanswered EndState = "cut"
)

// Record describes one request and how it ended.
type Record struct {
	ID       string
	Caller   string
	Class    string
	Services []string
	Query    string
	Execute  bool
	// Resent reports whether the request was sent before under the same id.
	Resent bool
	// AllShards reports whether a search requires answers from all shards; if
	// not, half of them suffices.
	AllShards bool
	Start     time.Time
	Latency   time.Duration
	Deadline  time.Duration
	EndState  EndState
	Reason    callerpb.Reason
	Outcome   callerpb.Outcome
	Message   string
	Summary   *callerpb.Summary
	// FrameError describes a protocol error in the frames of an answer; it is
	// empty if there is none.
	FrameError string
	// Matches are all matches of the answer, in the order received.
	Matches []Match
	// Instance is the index of the instance that the request was last sent to.
	Instance int
	WarmUp   bool
}

// Match is one match of an answer, reduced to the fields that are audited.
type Match struct {
	Service string
	Shard   uint32
	Record  uint64
	Text    string
}

// IsInTime reports whether a complete answer arrived within the deadline.
func (r *Record) IsInTime() bool {
	return r.EndState == Answered && r.Latency <= r.Deadline
}
