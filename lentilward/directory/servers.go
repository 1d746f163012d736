package directory

import (
	"slices"
	"time"

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

// limitReportInterval is the time between two log lines about a server that names a limit.
const limitReportInterval = 4 * time.Second

// reportLimit logs the limit that a server names for all instances together, and what this
// instance has sent to it.
func (d *Directory) reportLimit(s *balance.Server, now time.Time) {
	r, ok := s.ReportLimit(limitReportInterval, now)
	if !ok {
		return
	}
	d.log.Info("limit named by a backend server", "id", s.ID, "service", s.Service, "requests-per-second", r.PerSecond, "ended", r.Ended,
		"named-for", r.NamedFor, "sent", r.Sent.First, "hedges", r.Sent.Hedges, "repeats", r.Sent.Retries)
}

// ServersNamingLimit returns the number of servers that name a limit.
func (d *Directory) ServersNamingLimit() int {
	snapshot := d.Current.Load()
	if snapshot == nil {
		return 0
	}
	n := 0
	for _, service := range snapshot.Services {
		for _, server := range service.Servers() {
			if server.NamesLimit() {
				n++
			}
		}
	}
	return n
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
