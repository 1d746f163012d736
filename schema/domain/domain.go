// Package domain has the types that the parts of lentilward share, whatever
// protocol callers, backend servers and operators speak.
package domain

import (
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// Configuration is one version of what operators want. It is immutable.
type Configuration struct {
	Version uint64
	// Routes by host, those with the longest prefix first.
	Routes   map[string][]*Route
	Services map[string]*Service
	Limits   Limits
}

// Match returns the route of a host and path, or nil if there is none.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.Routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Route says which requests go where, and what they may cost.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once, all others at most once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is of full use.
	Objective time.Duration
	// MaxAttempts bounds the backend servers that one request may reach, for
	// each shard.
	MaxAttempts int
	// Rank orders requests that compete; 0 goes first.
	Rank int
	// Split are the services of which one takes the request. It is empty for a
	// search.
	Split []Share
	// Shards are the services that a search asks, each for one part.
	Shards []string
	// Results bounds the records of a merged answer.
	Results int
	// LeastShare is the share of the shards without which a search has failed.
	LeastShare float64
}

// Share is a service that takes part of the requests of a route.
type Share struct {
	Service string
	Weight  float64
}

// LeastParts returns the number of parts without which a search has failed.
func (r *Route) LeastParts() int {
	n := len(r.Shards)
	for have := range n {
		if have > 0 && float64(have) >= r.LeastShare*float64(n)-shareRounding {
			return have
		}
	}
	return n
}

// shareRounding keeps a share such as 0.9 of 10 at 9 parts.
const shareRounding = 1e-9

// Service is a set of backend servers that answer equally well.
type Service struct {
	Name string
	// Connections bounds the connections to each backend server, those of all
	// instances together.
	Connections int
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes int64
}

// BackendServer is one process that serves a service.
type BackendServer struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	// Leaving servers get no new work.
	Leaving bool
	// ColdFor is how much longer the server is cold.
	ColdFor time.Duration
	// Born tells processes with the same ID apart.
	Born int64
}

// Request is one request of a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is path and query as the caller wrote them.
	Target string
	// Header has the headers to pass on.
	Header http.Header
	Body   []byte
	// TimeLeft is how long the caller waits; 0 if it did not say.
	TimeLeft time.Duration
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Reply is what a backend server answered.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Proof shows which server ran the request; empty if there is none.
	Proof string
	// RequestID is the request that the server says it answers.
	RequestID string
	// NotRun replies state that the request has not run on the server and
	// never will.
	NotRun bool
	// Elsewhere replies come from another server than the one meant.
	Elsewhere bool
	// ColdFor is how much longer the server says it is cold.
	ColdFor time.Duration
	// Close tells that the server takes nothing more on the connection, and
	// KeepAlive how long it keeps it when idle; 0 if it did not say.
	Close     bool
	KeepAlive time.Duration
}

// OK tells whether the server ran the request with success.
func (r *Reply) OK() bool {
	return !r.NotRun && r.Proof != "" && r.Status >= 200 && r.Status < 300
}

// Outcome is what is certain about a request.
type Outcome uint8

// Outcomes.
const (
	// NotRun requests have not run and never will.
	NotRun Outcome = iota
	// Unknown requests may have run.
	Unknown
	// Ran requests have run.
	Ran
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	return [...]string{"not-run", "unknown", "ran"}[o]
}

// Reason says why a request was refused.
type Reason uint8

// Reasons.
const (
	// NoConfiguration means that the instance knows no configuration yet, or
	// only an old one.
	NoConfiguration Reason = iota
	// NoRoute means that no route matches.
	NoRoute
	// TooLarge means that the body is over the limit.
	TooLarge
	// Malformed means that the request lacks what every request must have.
	Malformed
	// NoServer means that no backend server can take the request.
	NoServer
	// Overloaded means that there is no room in the time that the request has.
	Overloaded
	// TimedOut means that the time of the request was over.
	TimedOut
	// Incomplete means that too few shards replied.
	Incomplete
	// Failed means that the backend servers failed.
	Failed
	// Harmful means that backend servers went away while they ran the request.
	Harmful
	// Abandoned means that the caller has left.
	Abandoned
	// Stopping means that the instance stops.
	Stopping
	// Duplicate means that a request with the same ID is in flight.
	Duplicate
	// Limited means that a limit of the service was reached.
	Limited
	// Claimed means that an earlier request with the same ID may have run.
	Claimed
	// Unavailable means that what must be kept cannot be written.
	Unavailable
)

// String returns the reason in lower case.
func (r Reason) String() string {
	return [...]string{
		"no-configuration", "no-route", "too-large", "malformed", "no-server", "overloaded", "timed-out",
		"incomplete", "failed", "harmful", "abandoned", "stopping", "duplicate", "limited", "claimed", "unavailable",
	}[r]
}

// Refusal is an error that tells a caller whether its request has run.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
	Message    string
	// Covered and Total count the shards of an answer that was incomplete.
	Covered, Total int
}

// Error returns the message.
func (r *Refusal) Error() string { return r.Message }

// Errors of a call to a backend server.
var (
	// ErrVersionGone means that the server does not have the version asked for.
	ErrVersionGone = errors.New("version is gone")
	// ErrLost means that the server went away during the call.
	ErrLost = errors.New("backend server lost")
	// ErrRefused means that the server refused before it ran the request.
	ErrRefused = errors.New("refused by the backend server")
)

// Answer is what a caller gets: a server's reply, or what was merged from the
// replies of several shards.
type Answer struct {
	Reply *Reply
	// Proofs, Missing and Records are those of a search; Reply is nil then.
	Proofs  []string
	Missing int
	Records []byte
}
