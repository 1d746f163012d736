package directory

import (
	"math"
	"strings"
	"time"

	"lentilward.org/lentilward/admission"
	"lentilward.org/lentilward/balance"
	"lentilward.org/schema/domain"
)

// rebuild removes the servers that are due for removal, assigns the others to their
// services and publishes a new snapshot.
func (d *Directory) rebuild(now time.Time) {
	byService, outOfUse := make(map[string][]*balance.Server), make(map[string][]OutOfService)
	unconfirmed := false
	for key, tracked := range d.servers {
		if !tracked.removeAt.IsZero() && !now.Before(tracked.removeAt) {
			if d.isRemovalConfirmed(tracked) {
				d.removeServer(key, tracked, "record deleted or malformed")
				continue
			}
			unconfirmed = true
		}
		outOfService := tracked.Draining || d.isWithdrawn(tracked.DataCentre)
		if tracked.server.SetOutOfService(outOfService) && outOfService {
			tracked.server.Pool.CloseIdle()
		}
		if outOfService {
			outOfUse[tracked.Service] = append(outOfUse[tracked.Service], OutOfService{tracked.server, tracked.Draining, d.isWithdrawn(tracked.DataCentre)})
		} else {
			byService[tracked.Service] = append(byService[tracked.Service], tracked.server)
		}
	}
	d.recheckAt = time.Time{}
	if d.isHolding() && !now.Before(d.holdUntil()) {
		d.Confirm()
		unconfirmed = true
	}
	if unconfirmed {
		d.recheckAt = now.Add(confirmInterval)
	}
	if d.configuration == nil {
		return
	}
	snapshot := &Snapshot{
		Configuration: d.configuration, OutOfService: outOfUse,
		Services: make(map[string]*balance.Service), Routes: make(map[string]*balance.Route),
		Admissions: make(map[string]*admission.Limit),
	}
	admissions := make(map[string]*admission.Limit)
	for name := range d.configuration.Services {
		snapshot.Services[name] = d.ensureService(name)
	}
	for _, routes := range d.configuration.Routes {
		for _, r := range routes {
			snapshot.Routes[r.Name] = d.ensureRoute(r.Name)
			if len(r.Shards) > 0 {
				key := strings.Join(r.Shards, " ")
				admissions[key] = d.ensureAdmission(key, len(r.Shards))
				snapshot.Admissions[r.Name] = admissions[key]
			}
			for _, part := range r.TrafficSplit {
				snapshot.Services[part.Service] = d.ensureService(part.Service)
			}
			for _, shard := range r.Shards {
				snapshot.Services[shard] = d.ensureService(shard)
			}
		}
	}
	d.admissions = admissions
	for name, service := range d.services {
		d.setVersions(service, byService[name], now)
		service.SetServers(byService[name])
	}
	d.Current.Store(snapshot)
	d.updateConnectionLimits()
}

// ensureService returns the state of a service and creates it on first use. Its
// measurements are kept across changes of the configuration.
func (d *Directory) ensureService(name string) *balance.Service {
	s := d.services[name]
	if s == nil {
		s = balance.NewService(name, d.retryBudget.Load)
		s.OnBreaker = d.logBreaker
		d.services[name] = s
	}
	return s
}

func (d *Directory) ensureRoute(name string) *balance.Route {
	r := d.routes[name]
	if r == nil {
		r = &balance.Route{}
		d.routes[name] = r
	}
	return r
}

// ensureAdmission returns the limit of the searches over a set of services, which key
// identifies.
func (d *Directory) ensureAdmission(key string, shards int) *admission.Limit {
	if a := d.admissions[key]; a != nil {
		return a
	}
	a := admission.New()
	a.OnLimit = func(limited bool, limit float64) {
		d.log.Info("limit of searches changed", "shards", shards, "limited", limited, "searches-per-second", limit)
	}
	d.admissions[key] = a
	return a
}

// LimitedSearches returns the number of sets of services whose searches are limited.
func (d *Directory) LimitedSearches(now time.Time) int {
	snapshot := d.Current.Load()
	if snapshot == nil {
		return 0
	}
	limited := make(map[*admission.Limit]bool)
	for _, a := range snapshot.Admissions {
		if !math.IsInf(a.Limit(now), 1) {
			limited[a] = true
		}
	}
	return len(limited)
}

// maintain adapts the connection limits to the number of instances and closes idle
// connections.
func (d *Directory) maintain(now time.Time) {
	d.updateConnectionLimits()
	for _, tracked := range d.servers {
		tracked.server.Pool.Trim(now)
		d.reportLimit(tracked.server, now)
	}
}

func (d *Directory) updateConnectionLimits() {
	if snapshot := d.Current.Load(); snapshot != nil {
		d.OnState(snapshot)
	}
	for _, tracked := range d.servers {
		d.updateConnectionLimit(tracked, tracked.BackendServer)
	}
}

// updateConnectionLimit sets the limit of a server's connection pool to this
// instance's share of the server's connections, at least 1.
func (d *Directory) updateConnectionLimit(tracked *trackedServer, b domain.BackendServer) {
	maxConnections := defaultMaxConnections
	if d.configuration != nil {
		if s := d.configuration.Services[b.Service]; s != nil && s.MaxConnections > 0 {
			maxConnections = s.MaxConnections
		}
	}
	if limit, ahead, ok := d.ConnectionLimit(b.Service, b.DataCentre, maxConnections); ok {
		ahead = ahead && !tracked.server.Remote
		tracked.server.Pool.Limit.Store(int32(limit))
		tracked.server.Pool.OnDemand.Store(!ahead)
		if ahead && !tracked.ahead && !tracked.server.IsOutOfService() {
			d.toOpen = append(d.toOpen, tracked.server)
		}
		tracked.ahead = ahead
		return
	}
	tracked.ahead = false
	tracked.server.Pool.OnDemand.Store(false)
	share := int32(connectionShare * float64(maxConnections) / float64(max(1, d.InstanceCount())))
	tracked.server.Pool.Limit.Store(max(1, share))
}

// MaxConnections returns the maximum number of connections to a server of a service.
func (s *Snapshot) MaxConnections(service string) int {
	if c := s.Configuration.Services[service]; c != nil && c.MaxConnections > 0 {
		return c.MaxConnections
	}
	return defaultMaxConnections
}

// defaultMaxConnections is the maximum number of connections to a server while the
// configuration sets none for its service, or does not have the service yet.
const defaultMaxConnections = 16
