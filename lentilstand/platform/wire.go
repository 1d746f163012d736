package platform

import (
	"encoding/json"
	"time"
)

// Headers of callers and backend servers.
const (
	RequestID   = "Request-Id"
	TimeLeft    = "Deadline-Milliseconds"
	ServerID    = "Expected-Instance"
	ServerProof = "Server-Stamp"
	NotRun      = "Not-Executed"
	Proofs      = "Part-Stamps"
	Missing     = "Missing-Parts"
)

// Readiness is the path at which the balancer asks an instance.
const Readiness = "/v1/readiness"

// ConfigurationKey is the key of the operators' configuration.
const ConfigurationKey = "op/config"

// ServerKey is the key of a backend server's record.
func ServerKey(id string) string { return "servers/" + id }

// Server is what a backend server says of itself.
type Server struct {
	Service, Address, Zone string
	Draining               bool
}

// Record returns the value of the server's record.
func (s Server) Record() []byte {
	state := "ready"
	if s.Draining {
		state = "draining"
	}
	return encode(map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": 3, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": 1,
	})
}

// Configuration has a search route and one for requests that run at most once,
// under one host.
type Configuration struct {
	Version                    int
	Host                       string
	SearchPrefix, SinglePrefix string
	Shards                     []string
	Single                     string
	Services                   []string
	Results                    int
	LeastShare                 float64
	Timeout, Objective         time.Duration
}

// Record returns the value of the configuration's record.
func (c Configuration) Record() []byte {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": c.Host, "prefix": prefix, "kind": kind, "timeoutMs": c.Timeout.Milliseconds(),
			"targetLatencyMs": c.Objective.Milliseconds(), "maxAttempts": 2,
		}
	}
	search, single := route("search", c.SearchPrefix, "safe"), route("single", c.SinglePrefix, "unsafe")
	search["shards"], search["resultCount"], search["minSuccessShare"] = c.Shards, c.Results, c.LeastShare
	single["service"] = c.Single
	var services []any
	for _, name := range c.Services {
		services = append(services, map[string]any{"name": name, "maxConnections": 30})
	}
	return encode(map[string]any{"version": c.Version, "routes": []any{search, single}, "services": services})
}

func encode(record any) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		// All that stands in a record can be written.
		panic(err)
	}
	return data
}
