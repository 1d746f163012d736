package balance

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/quota"
	"lentilward.org/schema/domain"
)

// newLimitedService returns a service with a near and a remote server, and the number of
// tokens that the home of their limits has.
func newLimitedService() (s *Service, near, remote *Server, left *int) {
	left = new(int)
	tokens := quota.NewLocal(quota.Settings{Window: 4 * time.Second, Overage: 0.5, Slack: 5})
	tokens.Ask = func(_ context.Context, a quota.Ask) (quota.Grant, error) {
		*left += a.Returned
		n := min(a.Need, *left)
		*left -= n
		g := quota.Grant{Granted: n, Term: 500 * time.Millisecond}
		if n == 0 {
			g.RetryAfter = 100 * time.Millisecond
		}
		return g, nil
	}
	var servers []*Server
	for i, id := range []string{"near", "remote"} {
		pool := conn.NewPool(netip.MustParseAddrPort("10.0.0.1:80"))
		pool.Limit.Store(100)
		server := NewServer(domain.BackendServer{ID: id}, pool, i == 1)
		server.SetTokens(tokens)
		servers = append(servers, server)
	}
	s = NewService("s", func() *RetryBudget { return &RetryBudget{} })
	s.SetServers(servers)
	return s, servers[0], servers[1], left
}

// Guards against calls above the limit that a server names, and against requests that wait
// although another server has room.
func TestCallsBeyondNamedLimitGoToOtherServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, near, remote, left := newLimitedService()
		near.RecordNamedLimit(10, time.Now())
		*left = 3
		calls := make(map[*Server]int)
		for range 40 {
			server := s.Acquire(nil, time.Now())
			if server == nil {
				t.Fatal("no server can take a call")
			}
			calls[server]++
			s.Release(server)
			time.Sleep(10 * time.Millisecond)
		}
		if calls[near] != 3 || calls[remote] != 37 {
			t.Errorf("%d calls of the limited server and %d of the other, want 3 and 37", calls[near], calls[remote])
		}
		time.Sleep(limitEndDelay)
		near.RecordNoLimit(time.Now())
		if server := s.Acquire(nil, time.Now()); server != near {
			t.Error("the server gets no call although it names no limit any more")
		}
	})
}

// Guards against requests that wait for ever for a token, tokens of calls that were not sent
// and are lost, and requests that wait although it is known that there are no tokens.
func TestWaitersAreWokenByTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, near, remote, left := newLimitedService()
		for _, server := range []*Server{near, remote} {
			server.RecordNamedLimit(10, time.Now())
		}
		first := &Waiter{Priority: 1, Deadline: time.Now().Add(time.Hour), Wake: func() {}}
		s.AddWaiter(first)
		// Each instance gets at least its share, here all, of twice 10 tokens a second.
		for priority, want := range []time.Duration{0, 100 * time.Millisecond} {
			if delay := s.TokenDelay(priority, time.Now()); delay != want {
				t.Errorf("priority %d: a delay of %v is expected, want %v", priority, delay, want)
			}
		}
		s.RemoveWaiter(first)
		await := func(d time.Duration) *Server {
			for begin := time.Now(); time.Since(begin) < d; {
				if server := s.Acquire(nil, time.Now()); server != nil {
					return server
				}
				woken := make(chan struct{}, 1)
				w := &Waiter{Deadline: begin.Add(d), Wake: func() { woken <- struct{}{} }}
				s.AddWaiter(w)
				select {
				case <-woken:
				case <-time.After(d):
					s.RemoveWaiter(w)
				}
			}
			return nil
		}
		if await(time.Second) != nil {
			t.Fatal("a call without a token")
		}
		*left = 1
		server := await(time.Second)
		if server == nil {
			t.Fatal("no call although there is a token")
		}
		s.Cancel(server)
		time.Sleep(time.Second)
		if await(time.Second) == nil {
			t.Error("the token of a call that was not sent is lost")
		}
	})
}
