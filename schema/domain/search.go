package domain

import "time"

// Class is the scheduling class of requests that compete for slots.
type Class uint8

// Classes in order of precedence, the most urgent first.
const (
	Urgent Class = iota
	Interactive
	Background
	// ClassCount is the number of classes.
	ClassCount
)

// String returns the class in lower case.
func (c Class) String() string {
	return [...]string{"urgent", "interactive", "background"}[c]
}

// SearchRequest is a query to all shards of one or more services.
type SearchRequest struct {
	ID       string
	Caller   string
	Services []string
	Query    string
	Class    Class
	// TimeLeft is the time until the caller's deadline; 0 if it set none.
	TimeLeft time.Duration
	// MinCoverage is the minimum share of shards, 0 to 1, that an answer must
	// cover.
	MinCoverage float64
	// Resent is true if the request may have been sent before with the same ID.
	Resent bool
}

// SearchAnswer is the complete answer to a search.
type SearchAnswer struct {
	Matches  []Match
	Coverage []ServiceCoverage
	// ShardsTotal and ShardsCovered count, over all services, the shards and
	// those that replied.
	ShardsTotal, ShardsCovered uint32
	Attempts, Hedges           uint32
	Elapsed                    time.Duration
	// Revision is the configuration revision that the request used.
	Revision uint64
	Instance string
}

// Match is one record found by a search.
type Match struct {
	Service string
	Shard   uint32
	Record  uint64
	Score   float64
	Text    string
}

// ServiceCoverage is the version of one service that an answer used, with its
// number of shards and those that are missing.
type ServiceCoverage struct {
	Service string
	Version uint64
	Shards  uint32
	Missing []uint32
}

// ExecuteRequest is a request that one service runs at most once.
type ExecuteRequest struct {
	ID       string
	Caller   string
	Service  string
	Payload  []byte
	Class    Class
	TimeLeft time.Duration
	Resent   bool
}

// ExecuteAnswer is the result of a request that ran.
type ExecuteAnswer struct {
	Result   []byte
	Instance string
}

// ShardCall is a call to a backend server that searches one shard of one version.
type ShardCall struct {
	RequestID string
	Attempt   uint32
	Service   string
	Version   uint64
	Shard     uint32
	Query     string
	Instance  string
}

// ShardReply is the result of a ShardCall. Its RequestID, Attempt, Service,
// Version and Shard repeat those of the call.
type ShardReply struct {
	RequestID string
	Attempt   uint32
	Service   string
	Version   uint64
	Shard     uint32
	Matches   []ShardMatch
	// BootID differs between successive processes of a server.
	BootID   uint64
	Draining bool
}

// ShardMatch is one record found in a shard.
type ShardMatch struct {
	Record uint64
	Score  float64
	Text   string
}

// ServerStatus is the status that a backend server reports.
type ServerStatus struct {
	BootID   uint64
	Draining bool
	Versions []ServerVersion
}

// ServerVersion is a version of a service and the shards of it that a server
// holds.
type ServerVersion struct {
	Service    string
	Version    uint64
	ShardCount uint32
	Shards     []uint32
}
