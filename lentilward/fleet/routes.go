package fleet

import (
	"net/netip"
	"sync/atomic"

	"lentilward.org/lentilward/blackboard"
)

// rebuild writes new routes from the configuration and the servers' reports.
func (f *Fleet) rebuild() {
	config := f.board.Config.Load()
	routes := &blackboard.Routes{
		Services: make(map[string]*blackboard.ServiceRoutes, len(config.Services)),
		Servers:  make(map[netip.AddrPort]*blackboard.Server, len(f.servers)),
		Revision: config.Revision,
	}
	for name, service := range config.Services {
		routes.Services[name] = f.serviceRoutes(service)
	}
	for address, t := range f.servers {
		routes.Servers[address] = t.server
	}
	for name := range f.states {
		if config.Services[name] == nil {
			delete(f.states, name)
		}
	}
	f.board.Routes.Store(routes)
}

// serviceRoutes finds the holders of each version's shards and the pin.
func (f *Fleet) serviceRoutes(service *blackboard.Service) *blackboard.ServiceRoutes {
	r := &blackboard.ServiceRoutes{
		Service:  service,
		Versions: make(map[uint64]*blackboard.VersionRoutes),
		State:    f.state(service),
	}
	for _, b := range service.BackendServers {
		t := f.servers[b.Address]
		r.Servers = append(r.Servers, t.server)
		if t.status == nil {
			continue
		}
		for _, v := range t.status.Versions {
			if v.Service == service.Name && v.ShardCount > 0 {
				r.Versions[v.Version] = addHolder(r.Versions[v.Version], v.Version, v.ShardCount, v.Shards, t.server)
			}
		}
	}
	for _, v := range r.Versions {
		if r.Pin == nil || better(v, r.Pin) {
			r.Pin = v
		}
	}
	return r
}

// addHolder enters a server as a holder of its shards.
func addHolder(v *blackboard.VersionRoutes, number uint64, count uint32, shards []uint32, s *blackboard.Server) *blackboard.VersionRoutes {
	if v == nil {
		v = &blackboard.VersionRoutes{Version: number, Holders: make([][]*blackboard.Server, count)}
	}
	if s.OutOfService.Load() {
		return v
	}
	for _, shard := range shards {
		if int(shard) < len(v.Holders) {
			v.Holders[shard] = append(v.Holders[shard], s)
		}
	}
	return v
}

// better prefers the version with the larger share of covered shards, then the
// newer one.
func better(a, b *blackboard.VersionRoutes) bool {
	left := a.Covered() * len(b.Holders)
	right := b.Covered() * len(a.Holders)
	if left != right {
		return left > right
	}
	return a.Version > b.Version
}

// state returns what is measured of a service; it outlives configurations.
func (f *Fleet) state(service *blackboard.Service) *blackboard.ServiceState {
	s := f.states[service.Name]
	if s == nil || len(s.InFlight) != len(service.Limits) {
		s = &blackboard.ServiceState{InFlight: make([]atomic.Int32, len(service.Limits))}
		s.HedgeDelay.Store(int64(firstHedgeDelay))
		f.states[service.Name] = s
	}
	return s
}
