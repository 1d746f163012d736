package domain

import "time"

// Class orders requests that compete.
type Class uint8

// Classes, the most urgent first.
const (
	Urgent Class = iota
	Interactive
	Background
	// Classes is their number.
	Classes
)

// String returns the class in lower case.
func (c Class) String() string {
	return [...]string{"urgent", "interactive", "background"}[c]
}

// SearchRequest asks services with numbered shards.
type SearchRequest struct {
	ID       string
	Caller   string
	Services []string
	Query    string
	Class    Class
	// TimeLeft is how long the caller waits; 0 if it did not say.
	TimeLeft time.Duration
	// LeastCoverage is the share of the shards that an answer must cover.
	LeastCoverage float64
	// Resent requests were sent before, with the same ID.
	Resent bool
}

// SearchAnswer is a whole answer to a search.
type SearchAnswer struct {
	Matches  []Match
	Coverage []ServiceCoverage
	// ShardsTotal and ShardsCovered count the shards of all services.
	ShardsTotal, ShardsCovered uint32
	Attempts, Hedges           uint32
	Took                       time.Duration
	// Revision is that of the configuration.
	Revision uint64
	Instance string
}

// Match is one record that was found.
type Match struct {
	Service string
	Shard   uint32
	Record  uint64
	Score   float64
	Text    string
}

// ServiceCoverage is what one service contributed to an answer.
type ServiceCoverage struct {
	Service string
	Version uint64
	Shards  uint32
	Missing []uint32
}

// ExecuteRequest asks one service to run a request at most once.
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

// ShardCall asks a backend server for one shard of one version.
type ShardCall struct {
	RequestID string
	Attempt   uint32
	Service   string
	Version   uint64
	Shard     uint32
	Query     string
	Instance  string
}

// ShardReply is what a backend server found. It names the call that it answers.
type ShardReply struct {
	RequestID string
	Attempt   uint32
	Service   string
	Version   uint64
	Shard     uint32
	Matches   []ShardMatch
	// BootID tells processes of a server apart.
	BootID   uint64
	Draining bool
}

// ShardMatch is one record that a shard has.
type ShardMatch struct {
	Record uint64
	Score  float64
	Text   string
}

// ServerStatus is what a backend server says of itself.
type ServerStatus struct {
	BootID   uint64
	Draining bool
	Versions []ServerVersion
}

// ServerVersion is a version of a service with the shards that a server holds.
type ServerVersion struct {
	Service    string
	Version    uint64
	ShardCount uint32
	Shards     []uint32
}
