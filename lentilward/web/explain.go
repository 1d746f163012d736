package web

import "lentilward.org/schema/domain"

// MatchRoute returns the route of a request for a host, which may include a port, and a
// path; nil if there is none.
func MatchRoute(c *domain.Configuration, host, path string) *domain.Route {
	return matchRoute(c, &domain.Request{Host: host, Target: path})
}
