// Package site reads the files that describe a site: its data centres, the groups
// of services with their backend servers, and the load of its callers.
package site

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a duration in the text form of time.ParseDuration, such as "6ms".
type Duration time.Duration

// UnmarshalText parses the text form and fails if it is malformed.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return merry.Prepend(err, "duration")
	}
	*d = Duration(v)
	return nil
}

// Site is one site with all its services.
type Site struct {
	Name        string   `toml:"name"`
	DataCentres []string `toml:"data-centres"`
	// BasePort is the port of the first backend server.
	BasePort uint16 `toml:"base-port"`
	// NetworkDelay is the one-way delay from the system to a backend server.
	NetworkDelay Duration `toml:"network-delay"`
	Groups       []Group  `toml:"groups"`
	Loads        []Load   `toml:"loads"`
}

// Load describes the requests that one caller sends to a group of services.
type Load struct {
	Caller string `toml:"caller"`
	// Class is urgent, interactive or background.
	Class string `toml:"class"`
	Group string `toml:"group"`
	// ServicesPerRequest is the number of services that one request searches; 0
	// means all.
	ServicesPerRequest int `toml:"pick"`
	// Rate is in requests per second.
	Rate     float64  `toml:"rate"`
	Deadline Duration `toml:"deadline"`
	// MinCoverage is the minimum share of shards in an accepted answer; 0 means 1.
	MinCoverage float64 `toml:"least-coverage"`
	// Query is the query text; each {n} in it is replaced by a number.
	Query string `toml:"query"`
	// Execute sends non-idempotent requests instead of searches.
	Execute bool `toml:"execute"`
}

// Group describes a number of services with the same settings.
type Group struct {
	Name         string   `toml:"name"`
	Services     int      `toml:"services"`
	Servers      int      `toml:"servers"`
	Slots        uint32   `toml:"slots"`
	Connections  uint32   `toml:"connections"`
	ConnectDelay Duration `toml:"connect-cost"`
	ColdLimit    uint32   `toml:"cold-bears"`
	WarmRuns     uint32   `toml:"warm-runs"`
	Shards       uint32   `toml:"shards"`
	// Replicas is the number of servers that hold each shard.
	Replicas    int      `toml:"replicas"`
	ServiceTime Duration `toml:"service-time"`
	Priority    uint32   `toml:"priority"`
}

// Server is one backend server of a site.
type Server struct {
	Group      Group
	Service    string
	Index      int
	Address    netip.AddrPort
	DataCentre string
}

// Read reads a site file. Unknown keys and malformed values are errors.
func Read(path string) (*Site, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer f.Close()
	var s Site
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&s); err != nil {
		var unknownKeys *toml.StrictMissingError
		if errors.As(err, &unknownKeys) {
			return nil, merry.Errorf("%s: unknown key:\n%s", path, unknownKeys.String())
		}
		return nil, merry.Prepend(err, path)
	}
	return &s, nil
}

// ServiceNames returns the names of a group's services: the group's own name, or
// numbered names if there are several.
func (g Group) ServiceNames() []string {
	if g.Services == 1 {
		return []string{g.Name}
	}
	names := make([]string, 0, g.Services)
	for i := range g.Services {
		names = append(names, fmt.Sprintf("%s-%02d", g.Name, i+1))
	}
	return names
}

// Servers returns the site's backend servers on consecutive ports from BasePort.
// The servers of a service are spread over the data centres.
func (s *Site) Servers() []Server {
	var servers []Server
	port := s.BasePort
	for _, g := range s.Groups {
		for n, name := range g.ServiceNames() {
			for i := range g.Servers {
				servers = append(servers, Server{
					Group:      g,
					Service:    name,
					Index:      i,
					Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port),
					DataCentre: s.DataCentres[(n+i)%len(s.DataCentres)],
				})
				port++
			}
		}
	}
	return servers
}

// HeldShards returns the shards that the server with the given index in its
// service holds if the service has count shards.
func (g Group) HeldShards(index int, count uint32) []uint32 {
	var shards []uint32
	for shard := range count {
		for r := range g.Replicas {
			if (int(shard)+r)%g.Servers == index {
				shards = append(shards, shard)
				break
			}
		}
	}
	return shards
}
