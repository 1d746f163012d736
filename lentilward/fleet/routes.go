package fleet

import (
	"net/netip"
	"sync/atomic"

	"lentilward.org/lentilward/blackboard"
)

// rebuild writes new routes, built from the configuration and the servers' last
// statuses.
func (f *Fleet) rebuild() {
	config := f.board.Config.Load()
	routes := &blackboard.Routes{
		Services: make(map[string]*blackboard.ServiceRoutes, len(config.Services)),
		Servers:  make(map[netip.AddrPort]*blackboard.Server, len(f.servers)),
		Revision: config.Revision,
	}
	for name, service := range config.Services {
		routes.Services[name] = f.buildServiceRoutes(service)
	}
	for address, tracked := range f.servers {
		routes.Servers[address] = tracked.server
	}
	for name := range f.serviceStates {
		if config.Services[name] == nil {
			delete(f.serviceStates, name)
		}
	}
	f.board.Routes.Store(routes)
}

// buildServiceRoutes builds the routes of one service and picks the version that
// new requests use.
func (f *Fleet) buildServiceRoutes(service *blackboard.Service) *blackboard.ServiceRoutes {
	r := &blackboard.ServiceRoutes{
		Service:  service,
		Versions: make(map[uint64]*blackboard.VersionRoutes),
		State:    f.ensureServiceState(service),
	}
	for _, b := range service.BackendServers {
		tracked := f.servers[b.Address]
		r.Servers = append(r.Servers, tracked.server)
		if tracked.status == nil {
			continue
		}
		for _, v := range tracked.status.Versions {
			if v.Service == service.Name && v.ShardCount > 0 {
				r.Versions[v.Version] = addHolder(r.Versions[v.Version], v.Version, v.ShardCount, v.Shards, tracked.server)
			}
		}
	}
	for _, v := range r.Versions {
		if r.PinnedVersion == nil || isBetter(v, r.PinnedVersion) {
			r.PinnedVersion = v
		}
	}
	return r
}

// addHolder adds a server to the holders of its shards, unless it is out of
// service.
func addHolder(v *blackboard.VersionRoutes, version uint64, count uint32, shards []uint32, s *blackboard.Server) *blackboard.VersionRoutes {
	if v == nil {
		v = &blackboard.VersionRoutes{Version: version, Holders: make([][]*blackboard.Server, count)}
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

// isBetter reports whether a covers a larger share of its shards than b or, if the
// shares are equal, is the newer version.
func isBetter(a, b *blackboard.VersionRoutes) bool {
	weightedA := a.CoveredShards() * len(b.Holders)
	weightedB := b.CoveredShards() * len(a.Holders)
	if weightedA != weightedB {
		return weightedA > weightedB
	}
	return a.Version > b.Version
}

// ensureServiceState returns the measurements and counters of a service and creates
// them on first use. They are kept across configuration changes, unless the number
// of limits changes.
func (f *Fleet) ensureServiceState(service *blackboard.Service) *blackboard.ServiceState {
	s := f.serviceStates[service.Name]
	if s == nil || len(s.InFlight) != len(service.Limits) {
		s = &blackboard.ServiceState{InFlight: make([]atomic.Int32, len(service.Limits))}
		s.HedgeDelay.Store(int64(initialHedgeDelay))
		f.serviceStates[service.Name] = s
	}
	return s
}
