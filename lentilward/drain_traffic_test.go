package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/scatter"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

const (
	trafficShards          = 6
	trafficServersPerShard = 3
	trafficSeeds           = 1
	// servesOn is how long a server goes on to serve after it has drained or left.
	servesOn = 8 * time.Second
	// recordTTL is how long the record of a server lasts that does not renew it.
	recordTTL = 3600 * time.Millisecond
	// unreadPeriod is how long instances may not have read a change when the store goes away:
	// they pause between changes. If the copy does not have it either, none can know of it.
	unreadPeriod = 400 * time.Millisecond
	// stateLeft stands for the state of a server that has deleted its record.
	stateLeft = "left"
)

// trafficServer is a backend server process at an address.
type trafficServer struct {
	id, service, dataCentre string
	born                    int64
	address                 netip.AddrPort
	// writing is held while its record is written.
	writing sync.Mutex
	// state is that of its record; "" if it has none.
	state string
	// leftAt is when the store has acknowledged that the server drains or has left.
	leftAt time.Time
}

// trafficPlatform runs searches while servers drain, leave, start again under their
// identifiers and take the addresses of others.
type trafficPlatform struct {
	*memoryPlatform
	random *rand.Rand
	fleet  []*Gateway

	mu sync.Mutex
	// servers are the processes at the addresses, free the other addresses, and records has the
	// processes that have last written the records of servers.
	servers    map[netip.AddrPort]*trafficServer
	records    map[string]*trafficServer
	free       []netip.AddrPort
	sequence   int
	violations []string
	// delegated has the numbers of parts that the instances that took requests have handed to
	// peers, and senders the machines from which servers got these requests.
	delegated map[string]int
	senders   map[string]map[string]bool
	arrivals  int
	// awayAt is when the store last went away, and returnedAt when it came back from a copy.
	awayAt, returnedAt time.Time
}

func newTrafficPlatform(t *testing.T, seed uint64, instances, maxConnections int) *trafficPlatform {
	p := &trafficPlatform{
		memoryPlatform: newMemoryPlatform(t), random: rand.New(rand.NewPCG(seed, 0)), servers: make(map[netip.AddrPort]*trafficServer),
		records:   make(map[string]*trafficServer),
		delegated: make(map[string]int), senders: make(map[string]map[string]bool),
	}
	for n := range 60 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 2, byte(n + 1)}), 80)
		p.serve(t, address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.respondAt(address, w, r) }))
		p.free = append(p.free, address)
	}
	var shards, services []string
	for i := range trafficShards {
		name := fmt.Sprintf("shard-%d", i)
		shards, services = append(shards, fmt.Sprintf("%q", name)), append(services, fmt.Sprintf(`{"name":%q,"maxConnections":%d}`, name, maxConnections))
		for range trafficServersPerShard {
			p.startServer(t, i)
		}
	}
	p.write(t, platform.ConfigurationKey, fmt.Sprintf(`{"version":1,"routes":[{"name":"all","host":"h","prefix":"/all/","kind":"safe","shards":[%s],
		"resultCount":5,"minSuccessShare":0.5,"timeoutMs":1000,"targetLatencyMs":100,"maxAttempts":3}],"services":[%s]}`,
		strings.Join(shards, ","), strings.Join(services, ",")))
	p.dataCentre = func(number int) string { return fmt.Sprintf("z%d", number%2+1) }
	p.configure = func(o *Options) { o.Search.Hedge, o.Search.EarlyAnswer = true, true }
	p.prepare = p.prepareInstance
	first := netip.MustParseAddrPort("10.0.0.1:8102")
	for number := 1; number <= instances; number++ {
		p.fleet = append(p.fleet, p.startInstance(t, number, first))
	}
	time.Sleep(15 * time.Second)
	return p
}

// prepareInstance makes servers in the other data centre remote, and notes what the instance
// delegates.
func (p *trafficPlatform) prepareInstance(number int, g *Gateway) {
	dial, dataCentre := p.network.dialFrom(instanceHost(number)), p.dataCentre(number)
	g.directory.NewServer = func(b domain.BackendServer) *balance.Server {
		pool := conn.NewPool(b.Address)
		pool.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return dial(ctx, "tcp", address.String())
		}
		server := balance.NewServer(b, pool, b.DataCentre != dataCentre)
		server.SetTokens(g.serverLimits.local)
		return server
	}
	start := g.engine.StartGather
	g.engine.StartGather = func(peer netip.AddrPort, gather scatter.Gather, emit func(scatter.Partial), ended func(error)) (func(bool), error) {
		cancel, err := start(peer, gather, emit, ended)
		p.mu.Lock()
		defer p.mu.Unlock()
		if err == nil {
			p.delegated[gather.Request.ID]++
		}
		return cancel, err
	}
}

// startServer starts a server of a shard at a free address.
func (p *trafficPlatform) startServer(t *testing.T, shard int) {
	p.mu.Lock()
	address := p.free[0]
	p.free = p.free[1:]
	p.sequence++
	s := &trafficServer{
		id: fmt.Sprintf("i-%d", p.sequence), service: fmt.Sprintf("shard-%d", shard), dataCentre: fmt.Sprintf("z%d", shard%2+1), address: address,
	}
	p.mu.Unlock()
	p.boot(t, s)
}

// boot starts a server at its address.
func (p *trafficPlatform) boot(t *testing.T, s *trafficServer) {
	p.mu.Lock()
	s.leftAt, s.born = time.Time{}, time.Now().UnixMilli()
	p.servers[s.address] = s
	p.mu.Unlock()
	p.writeServer(t, s, "ready")
}

// writeServer writes the record of a server in a state, which is "" for the present one, and
// returns once the store has acknowledged it.
func (p *trafficPlatform) writeServer(t *testing.T, s *trafficServer, state string) {
	s.writing.Lock()
	defer s.writing.Unlock()
	p.mu.Lock()
	if state != "" {
		s.state = strings.TrimSuffix(state, stateLeft)
	}
	p.mu.Unlock()
	for {
		p.mu.Lock()
		p.sequence++
		key := platform.ServerPrefix + s.id
		p.records[key] = s
		record := fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":3,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
			s.service, s.address, s.dataCentre, s.state, p.sequence, s.born)
		hasLeft := s.state == ""
		p.mu.Unlock()
		var err error
		if hasLeft {
			_, err = p.client.Commit(p.ctx, nil, nil, []string{key})
		} else {
			_, err = p.client.Commit(p.ctx, nil, []platform.Write{{Key: key, Value: []byte(record)}}, nil)
		}
		if err == nil || p.ctx.Err() != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// respondAt answers a request that reaches an address.
func (p *trafficPlatform) respondAt(address netip.AddrPort, w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	id := r.Header.Get("Request-Id")
	p.mu.Lock()
	s := p.servers[address]
	if s == nil {
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expected-Instance") != s.id {
		p.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.arrivals++
	// The bound holds once the store has been back for recoveryPeriod.
	if since := time.Since(s.leftAt); !s.leftAt.IsZero() && since > drainPeriod && time.Since(p.returnedAt) > recoveryPeriod {
		p.violations = append(p.violations, fmt.Sprintf("%s: %s (%q) gets a request from %s %v after it drained or left, store back for %v", id, s.id, s.state, host, since, time.Since(p.returnedAt)))
	}
	if p.senders[id] == nil {
		p.senders[id] = make(map[string]bool)
	}
	p.senders[id][host] = true
	draw := p.random.IntN(100)
	p.mu.Unlock()
	switch {
	case draw < 4:
		time.Sleep(150 * time.Millisecond)
	case draw < 8:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case draw < 10:
		panic(http.ErrAbortHandler)
	default:
		time.Sleep(time.Duration(2+draw/10) * time.Millisecond)
	}
	w.Header().Set("Server-Stamp", s.id)
	fmt.Fprintf(w, "%-16s", s.id)
}

// replace makes one server of a shard drain or leave, and replaces it: under its identifier
// and at its address, or by another server; a server of another shard may get its address.
func (p *trafficPlatform) replace(t *testing.T) {
	p.mu.Lock()
	ready := make(map[string][]*trafficServer)
	for _, s := range p.servers {
		if s.leftAt.IsZero() {
			ready[s.service] = append(ready[s.service], s)
		}
	}
	shard := p.random.IntN(trafficShards)
	candidates := ready[fmt.Sprintf("shard-%d", shard)]
	if len(candidates) < 2 {
		p.mu.Unlock()
		return
	}
	slices.SortFunc(candidates, func(a, b *trafficServer) int { return strings.Compare(a.id, b.id) })
	s := candidates[p.random.IntN(len(candidates))]
	announced, sameID := p.random.IntN(2) == 0, p.random.IntN(2) == 0
	p.mu.Unlock()
	if announced {
		p.writeServer(t, s, "draining")
	} else {
		p.writeServer(t, s, stateLeft)
	}
	p.mu.Lock()
	s.leftAt = time.Now()
	p.mu.Unlock()
	time.AfterFunc(servesOn, func() {
		if announced {
			p.writeServer(t, s, stateLeft)
		}
		p.mu.Lock()
		delete(p.servers, s.address)
		if !sameID {
			p.free = append([]netip.AddrPort{s.address}, p.free...)
		}
		p.mu.Unlock()
		time.Sleep(2 * time.Second)
		if sameID {
			p.boot(t, s)
		} else {
			p.startServer(t, shard)
		}
	})
}

// run sends searches to all instances for a period while servers are replaced.
func (p *trafficPlatform) run(t *testing.T, period time.Duration) {
	var requests sync.WaitGroup
	nextReplacement := time.Now()
	for n, end := 0, time.Now().Add(period); time.Now().Before(end); time.Sleep(time.Duration(5+p.draw(30)) * time.Millisecond) {
		for i, g := range p.fleet {
			n++
			id := fmt.Sprintf("q-%d-%d", i+1, n)
			requests.Go(func() {
				r := httptest.NewRequest(http.MethodGet, "/all/", nil)
				r.Host = "h"
				r.Header.Set("Request-Id", id)
				g.callers.ServeHTTP(httptest.NewRecorder(), r)
			})
		}
		if time.Now().After(nextReplacement) {
			p.replace(t)
			nextReplacement = time.Now().Add(time.Duration(100+p.draw(1500)) * time.Millisecond)
		}
	}
	requests.Wait()
	time.Sleep(2 * servesOn)
}

// returnStore makes the store go away for a moment and come back from a copy that is a few
// seconds old; the servers write their records again a second later.
func (p *trafficPlatform) returnStore(t *testing.T) {
	age := 1000 + p.draw(3000)
	restored := p.store.TakeCopy()
	time.Sleep(time.Duration(age) * time.Millisecond)
	p.mu.Lock()
	p.awayAt = time.Now()
	p.mu.Unlock()
	p.store.StartOutage(900*time.Millisecond, false, false)
	time.Sleep(900 * time.Millisecond)
	p.mu.Lock()
	p.returnedAt = time.Now()
	p.mu.Unlock()
	p.store.Restore(restored)
	time.Sleep(time.Second)
	p.rewrite(t)
}

// rewrite writes the present records of all servers again. Those of servers that have left
// expire later.
func (p *trafficPlatform) rewrite(t *testing.T) {
	p.mu.Lock()
	present, left := make(map[string]*trafficServer), make(map[string]*trafficServer)
	for key, s := range p.records {
		if s.state == "" {
			left[key] = s
		} else {
			present[key] = s
		}
	}
	p.mu.Unlock()
	for _, s := range present {
		p.writeServer(t, s, "")
	}
	time.Sleep(recordTTL - time.Second)
	for _, s := range left {
		p.writeServer(t, s, "")
		p.mu.Lock()
		if s.state == "" && s.leftAt.After(p.awayAt.Add(-unreadPeriod)) {
			s.leftAt = time.Now()
		}
		p.mu.Unlock()
	}
}

func (p *trafficPlatform) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

// check checks that no server got a request too late, or from an instance that was not asked
// for it.
func (p *trafficPlatform) check(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.violations[:min(5, len(p.violations))] {
		t.Error(v)
	}
	forwarded, unasked := 0, 0
	for id, hosts := range p.senders {
		var taker, n int
		if _, err := fmt.Sscanf(id, "q-%d-%d", &taker, &n); err != nil {
			t.Fatal(err)
		}
		for host := range hosts {
			if host != instanceHost(taker) {
				forwarded++
				if p.delegated[id] == 0 {
					unasked++
					t.Errorf("%s was sent on by %s, which was not asked for it", id, host)
				}
			}
		}
	}
	t.Logf("%d arrivals of %d searches, %d violations, %d searches sent on for others, %d unasked", p.arrivals, len(p.senders), len(p.violations), forwarded, unasked)
	if p.arrivals == 0 {
		t.Error("no request has reached a server")
	}
}

// trafficTrouble is what happens beside the traffic. It begins 5 s after it.
type trafficTrouble func(t *testing.T, p *trafficPlatform)

// Guards against requests that reach a server later than the drain period after it drained or
// left, by any way a call can go: first calls, hedges, retries, waiting calls, gatherers and
// holders; and against servers that start again under their identifiers, or get the address
// of one that has left, and hide that (DRAIN).
func TestNoRequestReachesAServerThatDrainsOrHasLeft(t *testing.T) {
	for _, c := range []struct {
		name                      string
		instances, maxConnections int
		period                    time.Duration
		trouble                   trafficTrouble
	}{
		{"calls and gatherers", 4, 12, 15 * time.Second, func(*testing.T, *trafficPlatform) {}},
		{"holders", 12, 8, 10 * time.Second, func(*testing.T, *trafficPlatform) {}},
		{"links cut", 4, 12, 15 * time.Second, func(t *testing.T, p *trafficPlatform) {
			for range 150 {
				p.network.cutLinks(instanceHost(1 + p.draw(4)))
				time.Sleep(time.Duration(p.draw(100)) * time.Millisecond)
			}
		}},
		{"store silent to one instance", 4, 12, 20 * time.Second, func(t *testing.T, p *trafficPlatform) {
			p.failStore(t, storeFaults["silent"], instanceHost(1))()
			p.network.cutLinks(storeAddress.Addr().String())
		}},
		{"store returns from copies", 4, 12, 50 * time.Second, func(t *testing.T, p *trafficPlatform) {
			for range 3 {
				p.returnStore(t)
				time.Sleep(time.Duration(p.draw(9000)) * time.Millisecond)
			}
		}},
	} {
		for seed := range trafficSeeds {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newTrafficPlatform(t, uint64(seed), c.instances, c.maxConnections)
					time.AfterFunc(5*time.Second, func() { c.trouble(t, p) })
					p.run(t, c.period)
					p.check(t)
				})
			})
		}
	}
}
