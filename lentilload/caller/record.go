// Package caller puts open-loop load on the caller interface and notes what
// came of each request.
package caller

import (
	"time"

	"lentilward.org/schema/callerpb"
)

// End is how a request ended.
type End string

// Ends of requests.
const (
	// Answered requests got a whole answer.
	Answered End = "answered"
	// Refused requests got a typed refusal.
	Refused End = "refused"
	// Cut requests got neither.
	Cut End = "cut"
)

// Record is what is known of one request after its end.
type Record struct {
	ID       string
	Caller   string
	Class    string
	Services []string
	Query    string
	Execute  bool
	// Resent tells that the request was sent before under this id.
	Resent bool
	// All tells that the caller asked for every shard.
	All      bool
	Begin    time.Time
	Took     time.Duration
	Deadline time.Duration
	End      End
	Reason   callerpb.Reason
	Outcome  callerpb.Outcome
	Message  string
	Summary  *callerpb.Summary
	// Broken says what is wrong with the frames of an answer.
	Broken string
	// Matches of the answer.
	Matches []Match
	// Instance that the request was sent to last.
	Instance int
	WarmUp   bool
}

// Match is one match as the audit needs it.
type Match struct {
	Service string
	Shard   uint32
	Record  uint64
	Text    string
}

// InTime tells whether a whole answer came within the deadline.
func (r *Record) InTime() bool {
	return r.End == Answered && r.Took <= r.Deadline
}
