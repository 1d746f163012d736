package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/platform"
)

const (
	// holderShards is the number of shards of the search in the tests below, and
	// holderConnections the connections that a server accepts: fewer than there are
	// instances.
	holderShards      = 5
	holderConnections = 8
	holderInstances   = 12
)

// countingServer is a backend server that counts its connections.
type countingServer struct {
	mu                 sync.Mutex
	open, largest, all int
}

func (s *countingServer) record(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.all++
		s.largest = max(s.largest, s.open)
	case http.StateClosed, http.StateHijacked:
		s.open--
	}
}

// scarcePlatform is a platform with a search over shards whose servers accept fewer
// connections than there are instances.
type scarcePlatform struct {
	*memoryPlatform
	servers []*countingServer
}

func newScarcePlatform(t *testing.T, maxConnections int) *scarcePlatform {
	p := &scarcePlatform{memoryPlatform: newMemoryPlatform(t)}
	var shards, services []string
	for i := range holderShards {
		name := fmt.Sprintf("shard-%d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 1, byte(i)}), 80)
		s := &countingServer{}
		l, err := p.network.listen(address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{ConnState: s.record, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError), Handler: http.HandlerFunc(
			func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(4 * time.Millisecond)
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set("Server-Stamp", name)
				fmt.Fprintf(w, "%-16s", name)
			})}
		t.Cleanup(func() { server.Close() })
		go server.Serve(l)
		p.write(t, standin.ServerKey("i-"+name), string(standin.Server{Service: name, Address: address.String(), DataCentre: "z1"}.Record()))
		p.servers = append(p.servers, s)
		shards, services = append(shards, fmt.Sprintf("%q", name)), append(services, fmt.Sprintf(`{"name":%q,"maxConnections":%d}`, name, maxConnections))
	}
	p.write(t, platform.ConfigurationKey, fmt.Sprintf(`{"version":1,"routes":[{"name":"all","host":"h","prefix":"/all/","kind":"safe","shards":[%s],
		"resultCount":5,"minSuccessShare":1,"timeoutMs":1000,"targetLatencyMs":100,"maxAttempts":2}],"services":[%s]}`,
		strings.Join(shards, ","), strings.Join(services, ",")))
	return p
}

// start starts instances at once.
func (p *scarcePlatform) start(t *testing.T, instances int) []*Gateway {
	var fleet []*Gateway
	seeds := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:8102"), netip.MustParseAddrPort("10.0.0.2:8102")}
	for number := 1; number <= instances; number++ {
		fleet = append(fleet, p.startInstance(t, number, seeds...))
	}
	return fleet
}

// search sends a search to each instance every 50 ms for a period and returns the share
// that was answered.
func (p *scarcePlatform) search(fleet []*Gateway, period time.Duration) float64 {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, answered := 0, 0
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, g := range fleet {
			sent++
			wg.Go(func() {
				if statusOf(g, "/all/") == http.StatusOK {
					mu.Lock()
					answered++
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return float64(answered) / float64(sent)
}

// checkConnections checks that no server had more connections than it accepts.
func (p *scarcePlatform) checkConnections(t *testing.T) {
	t.Helper()
	for i, s := range p.servers {
		s.mu.Lock()
		if s.largest > holderConnections {
			t.Errorf("server %d had %d connections, it accepts %d", i, s.largest, holderConnections)
		}
		s.mu.Unlock()
	}
}

func (p *scarcePlatform) opened() (n int) {
	for _, s := range p.servers {
		s.mu.Lock()
		n += s.all
		s.mu.Unlock()
	}
	return n
}

func holdersAmong(fleet []*Gateway) (held []int) {
	for i, g := range fleet {
		if g.holders.plan.Load().HoldsAny() {
			held = append(held, i)
		}
	}
	return held
}

// Guards against connections from every instance to every server, and against searches
// that fail at instances that have none.
func TestSearchesAreHandedToHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newScarcePlatform(t, holderConnections)
		fleet := p.start(t, holderInstances)
		time.Sleep(15 * time.Second)
		held := holdersAmong(fleet)
		opened := p.opened()
		if answered := p.search(fleet, 5*time.Second); answered < 1 {
			t.Errorf("%.3f of the searches were answered", answered)
		}
		handed, run := int64(0), int64(0)
		for i, g := range fleet {
			handed += g.holders.handed.Load()
			run += g.holders.run.Load()
			if slices.Contains(held, i) != (g.holders.run.Load() > 0) {
				t.Errorf("instance %d has run %d searches, holders are %v", i, g.holders.run.Load(), held)
			}
		}
		if len(held) != 2 || handed == 0 || run != handed {
			t.Errorf("holders %v, %d searches handed over, %d run", held, handed, run)
		}
		p.checkConnections(t)
		// A holder may have two connections to each server.
		if n := p.opened() - opened; n > 2*holderShards*len(held) {
			t.Errorf("%d connections opened in 5 s of searches", n)
		}
	})
}

// Guards against further messages and store calls where connections suffice for all.
func TestNoHoldersWhereConnectionsSuffice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newScarcePlatform(t, 30)
		fleet := p.start(t, 6)
		time.Sleep(time.Minute)
		if answered := p.search(fleet, time.Second); answered < 1 {
			t.Errorf("%.3f of the searches were answered", answered)
		}
		for _, g := range fleet {
			if g.holders.plan.Load() != nil || g.holders.handed.Load() > 0 || len(g.mirror.List(fleetKey)) > 0 {
				t.Fatal("holders are in use")
			}
		}
	})
}

// Guards against too many connections, and searches without an answer, when a holder is
// cut off from all others and when it returns.
func TestOwnershipMovesFromALostHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newScarcePlatform(t, holderConnections)
		fleet := p.start(t, holderInstances)
		time.Sleep(30 * time.Second)
		held := holdersAmong(fleet)
		if len(held) != 2 {
			t.Fatalf("holders %v", held)
		}
		lost := held[0]
		others := slices.Delete(slices.Clone(fleet), lost, lost+1)
		host := fmt.Sprintf("10.0.0.%d", lost+1)
		p.network.isolate(host)
		first := p.search(others, 5*time.Second)
		after := p.search(others, 5*time.Second)
		t.Logf("answered: %.3f in the first 5 s, %.3f after that", first, after)
		if first < 0.9 || after < 0.99 {
			t.Errorf("answered: %.3f in the first 5 s, %.3f after that", first, after)
		}
		if now := holdersAmong(others); len(now) != 2 {
			t.Errorf("holders %v", now)
		}
		if fleet[lost].holders.plan.Load().HoldsAny() {
			t.Error("an instance that is cut off from all others holds connections")
		}
		p.network.rejoin(host)
		if back := p.search(fleet, 10*time.Second); back < 0.9 {
			t.Errorf("%.3f answered when the holder returns", back)
		}
		p.checkConnections(t)
	})
}

// Guards against a common start in which all take themselves for one of few instances:
// the store remembers how many there are and who holds connections.
func TestCommonStartStaysUnderTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newScarcePlatform(t, holderConnections)
		var seeds []netip.AddrPort
		for i := range 2 {
			seeds = append(seeds, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:8102", i+1)))
		}
		var stops []func()
		var ends []chan struct{}
		var before []*Gateway
		for number := 1; number <= holderInstances; number++ {
			g, stop, stopped := p.startStoppableInstance(t, number, seeds...)
			before, stops, ends = append(before, g), append(stops, stop), append(ends, stopped)
		}
		time.Sleep(90 * time.Second)
		held := holdersAmong(before)
		item, err := p.client.Get(p.ctx, fleetKey)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("record %s", item.Value)
		for i, stop := range stops {
			stop()
			<-ends[i]
			p.network.disconnect(fmt.Sprintf("10.0.0.%d", i+1))
			before[i].links.Close()
		}
		time.Sleep(30 * time.Second)
		for _, s := range p.servers {
			s.mu.Lock()
			s.largest = s.open
			s.mu.Unlock()
		}
		opened := p.opened()
		fleet := p.start(t, holderInstances)
		time.Sleep(2 * time.Second)
		if now := holdersAmong(fleet); !slices.Equal(now, held) {
			t.Errorf("holders 2 s after the start: %v, before it: %v", now, held)
		}
		if answered := p.search(fleet, 2*time.Second); answered < 0.95 {
			t.Errorf("%.3f of the searches 2 to 4 s after the start were answered", answered)
		}
		if answered := p.search(fleet, 10*time.Second); answered < 1 {
			t.Errorf("%.3f of the later searches were answered", answered)
		}
		p.checkConnections(t)
		if n := p.opened() - opened; n > 2*holderShards*len(held) {
			t.Errorf("%d connections opened", n)
		}
	})
}

// Guards against a common start without a record in which instances open connections to
// all servers before they know how many they are.
func TestFirstStartOpensFewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxConnections, instances = 30, 45
		p := newScarcePlatform(t, maxConnections)
		fleet := p.start(t, instances)
		first := p.search(fleet, 2*time.Second)
		later := p.search(fleet, 5*time.Second)
		opened, largest := p.opened(), 0
		for _, s := range p.servers {
			largest = max(largest, s.largest)
		}
		t.Logf("answered %.3f in the first 2 s, %.3f later; %d connections opened, at most %d at once", first, later, opened, largest)
		if first < 0.9 || later < 1 {
			t.Errorf("answered %.3f in the first 2 s, %.3f later", first, later)
		}
		if largest > maxConnections {
			t.Errorf("%d connections to a server that accepts %d", largest, maxConnections)
		}
		if held := holdersAmong(fleet); len(held) != 4 {
			t.Errorf("holders %v", held)
		}
	})
}

// Guards against searches without an answer, and connections above the cap, while two data
// centres are cut off from each other and a third reaches both.
func TestDataCentresCutOffFromEachOtherHaveHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxConnections, instances = 24, 36
		p := newScarcePlatform(t, maxConnections)
		p.dataCentre = func(number int) string { return fmt.Sprint("z", 1+number%3) }
		fleet := p.start(t, instances)
		time.Sleep(20 * time.Second)
		dataCentreOf := make(map[string]string)
		for number := 1; number <= instances; number++ {
			dataCentreOf[fmt.Sprintf("10.0.0.%d", number)] = p.dataCentre(number)
		}
		p.network.cut(func(a, b string) bool {
			return dataCentreOf[a] == "z1" && dataCentreOf[b] == "z2" || dataCentreOf[a] == "z2" && dataCentreOf[b] == "z1"
		})
		first := p.search(fleet, 4*time.Second)
		later := p.search(fleet, 6*time.Second)
		p.network.cut(nil)
		after := p.search(fleet, 4*time.Second)
		largest := 0
		for _, s := range p.servers {
			largest = max(largest, s.largest)
		}
		t.Logf("answered %.3f in the first 4 s, %.3f later, %.3f after the cut; at most %d connections to a server", first, later, after, largest)
		if first < 0.98 || later < 0.99 || after < 0.99 {
			t.Errorf("answered %.3f in the first 4 s, %.3f later, %.3f after the cut", first, later, after)
		}
		if largest > maxConnections {
			t.Errorf("%d connections to a server that accepts %d", largest, maxConnections)
		}
	})
}
