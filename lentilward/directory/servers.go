package directory

import (
	"slices"

	"lentilward.org/lentilward/balance"
)

// logBreaker logs that a server is ejected, or gets calls again.
func (d *Directory) logBreaker(s *balance.Server, ejected bool) {
	if ejected {
		d.log.Warn("backend server fails while others do not; it gets only probes", "id", s.ID, "service", s.Service)
		return
	}
	d.log.Info("backend server answers probes; it gets calls again", "id", s.ID, "service", s.Service)
}

// isServed reports whether a service has a server in service. A new server of one that has
// none, as at the start of this instance, is not paced.
func (d *Directory) isServed(service string) bool {
	s := d.services[service]
	return s != nil && slices.ContainsFunc(s.Servers(), func(server *balance.Server) bool { return !server.IsOutOfService() })
}

// EjectedServers returns the number of servers that get only probes.
func (d *Directory) EjectedServers() int {
	snapshot := d.Current.Load()
	if snapshot == nil {
		return 0
	}
	n := 0
	for _, service := range snapshot.Services {
		n += service.EjectedServers()
	}
	return n
}

// OutOfService is a server that must get no calls because it is draining or its data centre
// is withdrawn.
type OutOfService struct {
	Server              *balance.Server
	Draining, Withdrawn bool
}
