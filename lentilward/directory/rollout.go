package directory

import (
	"strings"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/schema/domain"
)

// Rollouts has the functions that take over the records of rollouts and the versions of
// the servers in service.
type Rollouts struct {
	// Prefixes precede the keys of the records of rollouts.
	Prefixes []string
	// Apply takes over a record that became known after knownAt.
	Apply func(r mirror.Record, knownAt, now time.Time)
	// SetServers sets the version policy of a service for its servers in service, given
	// as their number by version.
	SetServers func(service *balance.Service, versions map[string]int, now time.Time)
}

// isRollout reports whether a key is that of a record of a rollout.
func (d *Directory) isRollout(key string) bool {
	if d.Rollouts == nil {
		return false
	}
	for _, prefix := range d.Rollouts.Prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// changesVersion reports whether a record gives a server another version that matters.
func (d *Directory) changesVersion(tracked *trackedServer, b domain.BackendServer) bool {
	return d.Rollouts != nil && tracked.Version != b.Version
}

// setVersions sets the version policy of a service before its servers are set, so that no
// call goes to a version before it is known whether it is permitted.
func (d *Directory) setVersions(service *balance.Service, servers []*balance.Server, now time.Time) {
	if d.Rollouts == nil {
		return
	}
	versions := make(map[string]int)
	for _, s := range servers {
		versions[s.Version]++
	}
	d.Rollouts.SetServers(service, versions, now)
}
