package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServersBeyond returns the servers that a request must not be sent to so that it is sent
// to at most n, whichever instances run it: those beyond the first n in an order in which
// servers in the data centre home come first. The order of the others is the same for all
// requests from there, so that few connections are needed. Servers that can't be called
// don't count; ejected and paused ones do, since other instances may call these. While a
// version is on trial, one of its servers may be called as well.
func (s *Service) ServersBeyond(n int, home string, now time.Time) []*Server {
	servers := s.Servers()
	if view := s.versions.Load(); view != nil && view.trial != nil {
		n = max(1, n-1)
	}
	if len(servers) <= n {
		return nil
	}
	type ordered struct {
		server *Server
		far    int
		hash   uint64
	}
	list := make([]ordered, 0, len(servers))
	for _, server := range servers {
		if server.IsOutOfService() || server.isLost(now) {
			continue
		}
		far := 0
		if server.DataCentre != home {
			far = 1
		}
		list = append(list, ordered{server, far, xxhash.Sum64String(home + "\x00" + s.Name + "\x00" + server.ID)})
	}
	if len(list) <= n {
		return nil
	}
	slices.SortFunc(list, func(a, b ordered) int {
		return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(a.hash, b.hash))
	})
	beyond := make([]*Server, 0, len(list)-n)
	for _, o := range list[n:] {
		beyond = append(beyond, o.server)
	}
	return beyond
}

// AcquireConnectedExcept is as AcquireConnected without the servers in exclude.
func (s *Service) AcquireConnectedExcept(exclude []*Server, now time.Time) *Server {
	for _, server := range s.Servers() {
		if !server.Pool.HasIdle() {
			exclude = append(exclude, server)
		}
	}
	return s.Acquire(exclude, now)
}

// MayConnect reports whether this instance may have a connection to any server.
func (s *Service) MayConnect() bool {
	return slices.ContainsFunc(s.Servers(), func(server *Server) bool {
		return !server.IsOutOfService() && server.Pool.Limit.Load() > 0
	})
}

// AcquireWithin is as Acquire for a request that must not be sent to the servers beyond.
func (s *Service) AcquireWithin(beyond, exclude []*Server, now time.Time) *Server {
	return s.acquire(append(beyond[:len(beyond):len(beyond)], exclude...), beyond, now)
}

// isLost reports whether the server can't be reached, and starts a probe if one is due.
func (s *Server) isLost(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkBlockedLocked(now) && (s.consecutiveFailures > 0 || now.Before(s.blockedUntil))
}
