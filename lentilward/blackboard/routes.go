package blackboard

import "net/netip"

// Routes maps each service's shards to the backend servers that hold them. It is
// immutable, apart from the atomic fields of the servers that it points to.
type Routes struct {
	Services map[string]*ServiceRoutes
	Servers  map[netip.AddrPort]*Server
	// Revision is that of the configuration from which the routes were built.
	Revision uint64
}

// ServiceRoutes are the routes of one service.
type ServiceRoutes struct {
	Service *Service
	// PinnedVersion is the version that new requests use; nil if no server reported one.
	PinnedVersion *VersionRoutes
	Versions      map[uint64]*VersionRoutes
	Servers       []*Server
	State         *ServiceState
}

// VersionRoutes lists the servers that hold each shard of one version.
type VersionRoutes struct {
	Version uint64
	// Holders is indexed by shard. It omits servers that are out of service.
	Holders [][]*Server
}

// CoveredShards returns the number of shards that at least one server holds.
func (v *VersionRoutes) CoveredShards() int {
	n := 0
	for _, h := range v.Holders {
		if len(h) > 0 {
			n++
		}
	}
	return n
}
