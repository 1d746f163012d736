package operator

import (
	"net/netip"
	"regexp"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/operatorpb"
)

const (
	maxChangeIDBytes     = 64
	maxPriority          = 9
	maxShards            = 1 << 16
	maxServersPerService = 4096
	maxSlots             = 1 << 16
	maxHedgeBudget       = 1
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	classNames  = map[string]bool{"": true, "urgent": true, "interactive": true, "background": true}
)

// serviceFromProto validates a service and converts it to the type that the
// configuration holds. An error names the first invalid field.
func serviceFromProto(p *operatorpb.Service) (*blackboard.Service, error) {
	if !namePattern.MatchString(p.GetName()) {
		return nil, merry.Errorf("name %q: want lower-case letters, digits and dashes, at most 63", p.GetName())
	}
	if p.Shards == 0 || p.Shards > maxShards {
		return nil, merry.Errorf("shards: want 1 to %d", maxShards)
	}
	if p.Priority > maxPriority {
		return nil, merry.Errorf("priority: want 0 to %d", maxPriority)
	}
	if !(p.HedgeBudget >= 0 && p.HedgeBudget <= maxHedgeBudget) {
		return nil, merry.Errorf("hedge-budget: want 0 to %d", maxHedgeBudget)
	}
	if len(p.BackendServers) == 0 || len(p.BackendServers) > maxServersPerService {
		return nil, merry.Errorf("backend-servers: want 1 to %d", maxServersPerService)
	}
	s := &blackboard.Service{Name: p.Name, Shards: p.Shards, Priority: p.Priority, HedgeBudget: p.HedgeBudget}
	for _, b := range p.BackendServers {
		server, err := serverFromProto(b)
		if err != nil {
			return nil, err
		}
		s.BackendServers = append(s.BackendServers, server)
	}
	for _, l := range p.Limits {
		if !classNames[l.Class] {
			return nil, merry.Errorf("limit: unknown class %q", l.Class)
		}
		if l.InFlight == 0 {
			return nil, merry.New("limit: in-flight must be at least 1")
		}
		s.Limits = append(s.Limits, blackboard.Limit{Caller: l.Caller, Class: l.Class, InFlight: l.InFlight})
	}
	return s, nil
}

func serverFromProto(b *operatorpb.BackendServer) (blackboard.BackendServer, error) {
	address, err := netip.ParseAddrPort(b.Address)
	if err != nil {
		return blackboard.BackendServer{}, merry.Errorf("backend server %q: want IP:port", b.Address)
	}
	switch {
	case !namePattern.MatchString(b.DataCentre):
		return blackboard.BackendServer{}, merry.Errorf("backend server %s: invalid data centre name %q", address, b.DataCentre)
	case b.Slots == 0 || b.Slots > maxSlots:
		return blackboard.BackendServer{}, merry.Errorf("backend server %s: slots: want 1 to %d", address, maxSlots)
	case b.ColdLimit == 0 || b.ColdLimit > b.Slots:
		return blackboard.BackendServer{}, merry.Errorf("backend server %s: cold-limit: want 1 to the number of slots", address)
	case b.Connections == 0:
		return blackboard.BackendServer{}, merry.Errorf("backend server %s: connections must be at least 1", address)
	}
	return blackboard.BackendServer{
		Address: address, DataCentre: b.DataCentre, Slots: b.Slots, Connections: b.Connections,
		ColdLimit: b.ColdLimit, WarmRuns: b.WarmRuns, Draining: b.Draining,
	}, nil
}

// checkAddresses returns an error if the address of a backend server is used by
// another service or twice within the service.
func checkAddresses(c *blackboard.Config, service *blackboard.Service) error {
	serviceOf := make(map[netip.AddrPort]string)
	for _, s := range c.Services {
		if s.Name == service.Name {
			continue
		}
		for _, b := range s.BackendServers {
			serviceOf[b.Address] = s.Name
		}
	}
	for _, b := range service.BackendServers {
		if name, taken := serviceOf[b.Address]; taken {
			return merry.Errorf("backend server %s belongs to service %q already", b.Address, name)
		}
		serviceOf[b.Address] = service.Name
	}
	return nil
}

// countServers returns the number of backend servers in each data centre.
func countServers(c *blackboard.Config) map[string]uint32 {
	counts := make(map[string]uint32)
	for _, s := range c.Services {
		for _, b := range s.BackendServers {
			counts[b.DataCentre]++
		}
	}
	return counts
}
