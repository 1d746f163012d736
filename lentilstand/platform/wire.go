package platform

import (
	"encoding/json"
	"fmt"
	"time"
)

// HTTP headers exchanged with callers and backend servers. A proof shows that a
// backend server ran the request.
const (
	RequestIDHeader        = "Request-Id"
	KeyHeader              = "X-Api-Key"
	DeadlineHeader         = "Deadline-Milliseconds"
	ExpectedInstanceHeader = "Expected-Instance"
	ServerProofHeader      = "Server-Stamp"
	NotExecutedHeader      = "Not-Executed"
	ServerLeavingHeader    = "Server-Leaving"
	ServerLimitHeader      = "Server-Limit"
	RetryAfterHeader       = "Retry-After"
	PartProofsHeader       = "Part-Stamps"
	MissingPartsHeader     = "Missing-Parts"
)

// ReadinessPath is the path at which the load balancer polls the readiness of an
// instance.
const ReadinessPath = "/v1/readiness"

// ConfigurationKey is the store key of the operators' configuration.
const ConfigurationKey = "op/config"

// ServerKey returns the store key of a backend server's record.
func ServerKey(id string) string { return "servers/" + id }

// Server is the registration of a backend server in the store.
type Server struct {
	Service, Address, DataCentre string
	Draining                     bool
	// Sequence counts the heartbeats of the process; 0 stands for 1.
	Sequence int
}

// Record returns the JSON value of the server's record.
func (s Server) Record() []byte {
	state := "ready"
	if s.Draining {
		state = "draining"
	}
	return mustEncode(map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.DataCentre, "version": "v1", "slots": 3, "state": state,
		"coldRemainingMs": 0, "sequence": max(1, s.Sequence), "born": 1,
	})
}

// Configuration is an operators' configuration with two routes under one host: a
// search route and a route for requests that run at most once.
type Configuration struct {
	Version                    int
	Host                       string
	SearchPrefix, SinglePrefix string
	ShardServices              []string
	SingleService              string
	Services                   []string
	// PublicServices has the services of further routes, by their prefixes. They serve
	// idempotent requests and need no key.
	PublicServices map[string]string
	// Keys has the keys of tenants, one each. Without keys there are no tenants.
	Keys                   []string
	MaxRecords             int
	MinCoverage            float64
	Timeout, TargetLatency time.Duration
}

// Record returns the JSON value of the configuration's record.
func (c Configuration) Record() []byte {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": c.Host, "prefix": prefix, "kind": kind, "timeoutMs": c.Timeout.Milliseconds(),
			"targetLatencyMs": c.TargetLatency.Milliseconds(), "maxAttempts": 2,
		}
	}
	search, single := route("search", c.SearchPrefix, "safe"), route("single", c.SinglePrefix, "unsafe")
	search["shards"], search["resultCount"], search["minSuccessShare"] = c.ShardServices, c.MaxRecords, c.MinCoverage
	single["service"] = c.SingleService
	routes := []any{search, single}
	for prefix, service := range c.PublicServices {
		public := route("public "+prefix, prefix, "safe")
		public["service"], public["public"] = service, true
		routes = append(routes, public)
	}
	var services []any
	for _, name := range c.Services {
		services = append(services, map[string]any{"name": name, "maxConnections": 30})
	}
	record := map[string]any{"version": c.Version, "routes": routes, "services": services}
	var tenants []any
	for n, key := range c.Keys {
		tenants = append(tenants, map[string]any{"name": fmt.Sprint("tenant-", n+1), "apiKeys": []string{key}})
	}
	if len(tenants) > 0 {
		record["tenants"] = tenants
	}
	return mustEncode(record)
}

func mustEncode(record any) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		// Every type that a record contains can be encoded.
		panic(err)
	}
	return data
}
