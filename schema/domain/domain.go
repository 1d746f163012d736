// Package domain defines the types shared by all packages of lentilward,
// independent of the protocols of callers, backend servers and operators.
package domain

import (
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// Configuration is one version of the operators' configuration. It is
// immutable.
type Configuration struct {
	Version uint64
	// Routes maps each host to its routes, sorted by descending prefix length.
	Routes   map[string][]*Route
	Services map[string]*Service
	Limits   Limits
	// Tenants maps the names of tenants to them. If it is not empty, requests on routes
	// that are not public must carry the key of a tenant.
	Tenants map[string]*Tenant
	// Keys maps the hashes of keys to the tenants that hold them.
	Keys map[KeyHash]*Tenant
	// Malformed lists the routes and services that could not be decoded whole.
	Malformed []error
}

// Match returns the route with the longest prefix that matches host and path, or
// nil if there is none.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.Routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Route maps requests by host and path prefix to services and bounds their
// duration and number of attempts.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is true if the requests may run more than once; all others run
	// at most once.
	Idempotent bool
	// Timeout is the maximum time that a caller waits for its answer.
	Timeout time.Duration
	// TargetLatency is the time within which a search should be answered, if need be
	// without some of its shards; 0 if it has no target.
	TargetLatency time.Duration
	// MaxAttempts bounds the backend servers that one request is sent to for each
	// shard.
	MaxAttempts int
	// Priority is the priority among requests that compete for slots; 0 is the
	// highest.
	Priority int
	// Public is true if requests need no key, also where the configuration has tenants.
	Public bool
	// TrafficSplit lists the services among which requests are distributed by
	// weight; each request goes to one of them. It is empty for a search.
	TrafficSplit []WeightedService
	// Shards lists the services that a search calls, one for each shard.
	Shards []string
	// MaxRecords is the maximum number of records in a merged answer.
	MaxRecords int
	// MinCoverage is the minimum share of shards, 0 to 1, that must reply for a
	// search to succeed.
	MinCoverage float64
}

// WeightedService is a service that receives a weighted share of the requests of
// a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// MinShards returns the minimum number of shards that must reply for a search to
// succeed.
func (r *Route) MinShards() int {
	n := len(r.Shards)
	for covered := range n {
		if covered > 0 && float64(covered) >= r.MinCoverage*float64(n)-shareTolerance {
			return covered
		}
	}
	return n
}

// shareTolerance offsets floating-point rounding, so that a share of 0.9 of 10
// shards needs 9.
const shareTolerance = 1e-9

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to each backend server,
	// summed over all instances.
	MaxConnections int
}

// Limits bounds callers' requests: MaxBodyBytes is the maximum size of a body.
type Limits struct {
	MaxBodyBytes int64
}

// BackendServer is one process that serves a service. It runs up to Slots requests
// at once.
type BackendServer struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	// Draining is true if the server is draining and gets no new requests.
	Draining bool
	// ColdFor is the remaining duration of the server's cold start.
	ColdFor time.Duration
	// Incarnation differs between successive processes with the same ID.
	Incarnation int64
	// Sequence rises with each heartbeat of the process.
	Sequence float64
	// Version is the version of the server's software.
	Version string
}

// Request is one request of a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query exactly as the caller sent them.
	Target string
	// Header holds the headers to forward.
	Header http.Header
	Body   []byte
	// TimeLeft is the time until the caller's deadline; 0 if it set none.
	TimeLeft time.Duration
	// Keys has the hashes of the keys that the caller sent. It is not sent to peers.
	Keys []KeyHash `cbor:"-"`
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Reply is the reply of a backend server.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Proof shows which server ran the request; empty if the reply has none.
	Proof string
	// RequestID is the ID, as the server states it, of the request that this
	// replies to.
	RequestID string
	// NotRun is true if the server states that it has not run the request and
	// never will.
	NotRun bool
	// Misdirected is true if the request reached a server other than the intended
	// one.
	Misdirected bool
	// Leaving is true if the server is leaving and must get no new requests soon.
	Leaving bool
	// RetryAfter is how long the server wants no calls from this instance, after it
	// has refused one; 0 if it did not say so.
	RetryAfter time.Duration
	// ColdFor is the remaining duration of the cold start that the server reports.
	ColdFor time.Duration
	// NamesLimit is true if the server names a limit: RateLimit is the number of requests
	// a second that it takes from all instances together.
	NamesLimit bool
	RateLimit  float64
	// Close is true if the server accepts no further request on the connection.
	// KeepAlive is the server's idle timeout for the connection; 0 if it gave
	// none.
	Close     bool
	KeepAlive time.Duration
}

// OK reports whether the server ran the request successfully.
func (r *Reply) OK() bool {
	return !r.NotRun && r.Proof != "" && r.Status >= 200 && r.Status < 300
}

// Outcome states whether a request has run, as far as that is certain.
type Outcome uint8

// Outcomes of a request.
const (
	// NotRun means that the request has not run and never will.
	NotRun Outcome = iota
	// Unknown means that the request may have run.
	Unknown
	// Ran means that the request has run.
	Ran
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	return [...]string{"not-run", "unknown", "ran"}[o]
}

// Reason is the cause of a refusal.
type Reason uint8

// Reasons of a refusal.
const (
	// NoConfiguration means that the instance has no configuration yet, or only
	// an outdated one.
	NoConfiguration Reason = iota
	// NoRoute means that no route matches the host and path.
	NoRoute
	// TooLarge means that the body exceeds its size limit.
	TooLarge
	// Malformed means that a required field of the request is missing or invalid.
	Malformed
	// NoServer means that no backend server can take the request.
	NoServer
	// Overloaded means that there is no capacity for the request before its
	// deadline.
	Overloaded
	// TimedOut means that the request's deadline passed.
	TimedOut
	// Incomplete means that fewer shards replied than the answer requires.
	Incomplete
	// Failed means that the calls to backend servers failed.
	Failed
	// Poison means that the request is a poison or suspect request: backend
	// servers were lost while they ran it.
	Poison
	// Abandoned means that the caller cancelled the request or disconnected.
	Abandoned
	// Stopping means that the instance is shutting down.
	Stopping
	// Duplicate means that a request with the same ID is in flight.
	Duplicate
	// Limited means that a limit, such as that on requests in flight, was reached.
	Limited
	// Claimed means that an earlier request with the same ID may have run.
	Claimed
	// Unavailable means that state which must be persisted first, such as a claim,
	// could not be written.
	Unavailable
	// Unauthorized means that the request has no key of a tenant.
	Unauthorized
	// QuotaExceeded means that the tenant has used up its allowance.
	QuotaExceeded
	// Unverified means that the instance cannot tell whether the key is still valid.
	Unverified
)

// String returns the reason in lower case.
func (r Reason) String() string {
	return [...]string{
		"no-configuration", "no-route", "too-large", "malformed", "no-server", "overloaded", "timed-out",
		"incomplete", "failed", "harmful", "abandoned", "stopping", "duplicate", "limited", "claimed", "unavailable",
		"unauthorized", "quota-exceeded", "unverified",
	}[r]
}

// Refusal is the error returned to a caller. It states whether the request has
// run.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is the delay after which a retry is expected to find capacity; 0
	// if unknown.
	RetryAfter time.Duration
	Message    string
	// CoveredShards and TotalShards count the shards that replied and all shards of
	// an incomplete answer.
	CoveredShards, TotalShards int
}

// Error returns the message.
func (r *Refusal) Error() string { return r.Message }

// Errors of a call to a backend server.
var (
	// ErrVersionNotHeld means that the server does not hold the requested version or
	// shard.
	ErrVersionNotHeld = errors.New("version or shard not held by the backend server")
	// ErrConnectionLost means that the connection to the server was lost, or could not be
	// made, during the call.
	ErrConnectionLost = errors.New("connection to backend server lost")
	// ErrInvalidStatus means that the reply has a status that no final reply can have. The
	// request may have run.
	ErrInvalidStatus = errors.New("reply has no valid status")
	// ErrRefused means that the server refused the request without running it.
	ErrRefused = errors.New("refused by the backend server")
)

// Answer is the response to a caller: one server's reply, or the merged result of
// a search over several shards.
type Answer struct {
	Reply *Reply
	// Proofs, MissingShards and Records are set for a search, for which Reply is nil:
	// the proofs of the shards that replied, the number of shards that did not,
	// and the merged records.
	Proofs        []string
	MissingShards int
	Records       []byte
}
