package directory

import (
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/schema/domain"
)

// rebuild gives each service its servers and writes a new snapshot.
func (d *Directory) rebuild(now time.Time) {
	byService := make(map[string][]*balance.Server)
	unconfirmed := false
	for key, t := range d.servers {
		if !t.goneAt.IsZero() && !now.Before(t.goneAt) {
			if d.confirmed(t, now) {
				d.remove(key, t, "record has ended")
				continue
			}
			unconfirmed = true
		}
		out := t.Leaving || d.withdrawn[t.DataCentre]
		if t.server.SetOut(out) && out {
			t.server.Pool.Drain()
		}
		if !out {
			byService[t.Service] = append(byService[t.Service], t.server)
		}
	}
	d.recheckAt = time.Time{}
	if unconfirmed {
		d.recheckAt = now.Add(confirmPeriod)
	}
	if d.configuration == nil {
		return
	}
	s := &Snapshot{
		Configuration: d.configuration,
		Services:      make(map[string]*balance.Service), Routes: make(map[string]*balance.Route),
	}
	for name := range d.configuration.Services {
		s.Services[name] = d.service(name)
	}
	for _, routes := range d.configuration.Routes {
		for _, r := range routes {
			s.Routes[r.Name] = d.route(r.Name)
			for _, part := range r.Split {
				s.Services[part.Service] = d.service(part.Service)
			}
			for _, shard := range r.Shards {
				s.Services[shard] = d.service(shard)
			}
		}
	}
	for name, service := range d.services {
		service.SetServers(byService[name])
	}
	d.Current.Store(s)
	d.limitAll()
}

// service returns what is measured of a service; it outlives configurations.
func (d *Directory) service(name string) *balance.Service {
	s := d.services[name]
	if s == nil {
		s = balance.NewService(name, d.allowance.Load)
		d.services[name] = s
	}
	return s
}

func (d *Directory) route(name string) *balance.Route {
	r := d.routes[name]
	if r == nil {
		r = &balance.Route{}
		d.routes[name] = r
	}
	return r
}

// maintain follows the number of instances and closes idle connections.
func (d *Directory) maintain(now time.Time) {
	d.limitAll()
	for _, t := range d.servers {
		t.server.Pool.Trim(now)
	}
}

func (d *Directory) limitAll() {
	for _, t := range d.servers {
		d.limit(t, t.BackendServer)
	}
}

// limit gives this instance its share of the connections to a server.
func (d *Directory) limit(t *tracked, b domain.BackendServer) {
	connections := defaultConnections
	if d.configuration != nil {
		if s := d.configuration.Services[b.Service]; s != nil && s.Connections > 0 {
			connections = s.Connections
		}
	}
	share := int32(connectionPart * float64(connections) / float64(max(1, d.Instances())))
	t.server.Pool.Limit.Store(max(1, share))
}

// defaultConnections bounds the connections to a server of a service that the
// configuration does not name yet.
const defaultConnections = 16
