package blackboard

import "net/netip"

// Routes says where the shards of each service are. It is immutable, but the
// servers it points to keep counters.
type Routes struct {
	Services map[string]*ServiceRoutes
	Servers  map[netip.AddrPort]*Server
	// Revision of the configuration that the routes were made from.
	Revision uint64
}

// ServiceRoutes are the routes of one service.
type ServiceRoutes struct {
	Service *Service
	// Pin is the version that new requests use; nil if none is known.
	Pin      *VersionRoutes
	Versions map[uint64]*VersionRoutes
	Servers  []*Server
	State    *ServiceState
}

// VersionRoutes are the holders of each shard of one version.
type VersionRoutes struct {
	Version uint64
	// Holders is indexed by shard. Servers out of service are left out.
	Holders [][]*Server
}

// Covered returns the number of shards that have a holder.
func (v *VersionRoutes) Covered() int {
	n := 0
	for _, h := range v.Holders {
		if len(h) > 0 {
			n++
		}
	}
	return n
}
