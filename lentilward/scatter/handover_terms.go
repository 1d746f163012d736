package scatter

import (
	"net/netip"
	"time"
)

// Handover is how a search is handed to holders: instances that keep connections to the
// servers of its services.
type Handover struct {
	// Groups has the indexes of the parts that one holder runs. Parts in no group are
	// called by this instance.
	Groups [][]int
	// DataCentre is the data centre of this instance.
	DataCentre string
	// SeesLimits is set while servers name limits, to this instance or others.
	SeesLimits bool
	// Choose chooses a holder for a group, other than those that were asked.
	Choose func(group int, asked []netip.AddrPort) (holder netip.AddrPort, dataCentre string, ok bool)
	// IsConnecting reports whether a connection to a holder of a group is being opened.
	IsConnecting func(group int) bool
	// KeepCredit reports whether the first calls of the search count for the retry budget
	// of this instance and not for that of the holder.
	KeepCredit func() bool
	// Spend takes one more call for each part of a group from the retry budget, and
	// reports whether it was available. Refund gives it back.
	Spend  func(group int, now time.Time) bool
	Refund func(group int, now time.Time)
	// SlackShare is this instance's share of the slack of retry budgets.
	SlackShare func() float64
	// Begin is called when a holder is asked, and End when it has answered or is no
	// longer waited for.
	Begin func(holder netip.AddrPort)
	End   func(holder netip.AddrPort, o HandoverOutcome)
	// OnLate is called when a holder is late or lost and step is taken.
	OnLate func(step HandoverStep)
}

// HandoverOutcome is how a hand-over ended.
type HandoverOutcome struct {
	// Answered is set if most results have come, after the time Took; Allowed is the time
	// in which they should come.
	Answered      bool
	Took, Allowed time.Duration
	// Undecided is set if the search ended before the holder could answer.
	Undecided bool
}

// HandoverStep is what is done about a holder that is late or lost.
type HandoverStep struct {
	RequestID string
	Holder    netip.AddrPort
	After     time.Duration
	// Lost is set if the holder ended the search without all results.
	Lost bool
	// Second is the holder that is asked in its place. Direct is set if the servers are
	// called directly, and BudgetSpent if the retry budget permits neither.
	Second              netip.AddrPort
	Direct, BudgetSpent bool
}

// HandoverTerms are the additional terms on which a holder runs a search.
type HandoverTerms struct {
	// Attempts bounds the servers that are called for each part.
	Attempts int `cbor:"attempts"`
	// AnswerIn is the time after which the results must be sent.
	AnswerIn time.Duration `cbor:"answer-in"`
	// Target and Coverage are the target latency and the least share of parts.
	Target   time.Duration `cbor:"target,omitempty"`
	Coverage float64       `cbor:"coverage,omitempty"`
	// Home is the data centre whose servers come first among those that are called.
	Home string `cbor:"home"`
	// Tenant is the name of the tenant that sent the request; empty if it is not known.
	Tenant string `cbor:"tenant,omitempty"`
	// Credited is set if the first calls count already for the retry budget of the
	// requester.
	Credited bool `cbor:"credited,omitempty"`
	// Beyond is set if one server beyond those that all instances use for the search may be
	// called for a part where these have used up the limits that they name. All others that
	// run the search then call one server less.
	Beyond bool `cbor:"beyond,omitempty"`
}

// HolderRefusal ends a hand-over whose holder has no room. The search has not run.
type HolderRefusal struct{ RetryAfter time.Duration }

// Error returns the cause.
func (*HolderRefusal) Error() string { return "holder has no room for the search" }

// handedParts are the parts of a search that are handed to one holder, and then to
// another or called directly if that is late.
type handedParts struct {
	group int
	parts []int
	asked []*holderAsked
	// nextStepAt is when the next step is due if nothing has come; zero if none is.
	nextStepAt time.Time
	direct     bool
}

// holderAsked is one hand-over.
type holderAsked struct {
	*delegation
	address          netip.AddrPort
	askedAt          time.Time
	allowed          time.Duration
	merged           int
	failedParts      []int
	mostAt           time.Time
	ended, failed    bool
	reported, logged bool
}
