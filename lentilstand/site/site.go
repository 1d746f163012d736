// Package site reads the files that describe a site: its data centres and the
// groups of services with their backend servers.
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

// Duration is a time span written as in "6ms".
type Duration time.Duration

// UnmarshalText parses the written form.
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

// Load is the load that one caller puts on a group of services.
type Load struct {
	Caller string `toml:"caller"`
	// Class is urgent, interactive or background.
	Class string `toml:"class"`
	Group string `toml:"group"`
	// Pick is the number of services asked by one request; 0 means all.
	Pick int `toml:"pick"`
	// Rate is in requests a second.
	Rate     float64  `toml:"rate"`
	Deadline Duration `toml:"deadline"`
	// LeastCoverage is the least share of shards accepted; 0 means 1.
	LeastCoverage float64 `toml:"least-coverage"`
	// Query is the text, in which each {n} becomes a number.
	Query string `toml:"query"`
	// Execute makes the requests non-idempotent ones.
	Execute bool `toml:"execute"`
}

// Group is a number of like services.
type Group struct {
	Name        string   `toml:"name"`
	Services    int      `toml:"services"`
	Servers     int      `toml:"servers"`
	Slots       uint32   `toml:"slots"`
	Connections uint32   `toml:"connections"`
	ConnectCost Duration `toml:"connect-cost"`
	ColdBears   uint32   `toml:"cold-bears"`
	WarmRuns    uint32   `toml:"warm-runs"`
	Shards      uint32   `toml:"shards"`
	// Replicas is the number of servers that hold one shard.
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

// Read reads a site file; an unknown key is an error.
func Read(path string) (*Site, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer f.Close()
	var s Site
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&s); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, merry.Errorf("%s: %s", path, strict.String())
		}
		return nil, merry.Prepend(err, path)
	}
	return &s, nil
}

// ServiceNames returns the names of a group's services.
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

// Servers lists the site's backend servers. The servers of a service are
// spread over the data centres.
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

// Holds returns the shards that the server with this index holds if there are
// count shards.
func (g Group) Holds(index int, count uint32) []uint32 {
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
