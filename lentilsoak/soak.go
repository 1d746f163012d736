package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/platform"
)

const (
	instances = 3
	callers   = 8
	// faultPause is the mean time between two faults.
	faultPause = 700 * time.Millisecond
	// storePause is how long after a fault of the store nothing is said of what
	// depends on it.
	storePause = 12 * time.Second
)

// versions are the sets of shards that the configuration switches between.
var versions = [][]string{{"s1", "s2", "s3", "s4", "s5"}, {"s4", "s5", "s6", "s7", "s8"}}

var zones = []string{"north", "south", "west"}

// soak is one run.
type soak struct {
	rand    *rand.Rand
	program string
	folder  string
	ledger  *ledger
	// log tells of each fault.
	log       io.Writer
	store     *standin.Store
	client    *platform.Store
	servers   []*server
	instances []*instance
	settings  map[*instance]string
	faults    int
	version   int
	// unwell is until when the store counts as not well, in nanoseconds since
	// 1970.
	unwell atomic.Int64
	ready  sync.Map
	// restarts are those under way.
	restarts sync.WaitGroup
}

func newSoak(seed uint64, program, folder string) (*soak, error) {
	s := &soak{
		rand: rand.New(rand.NewPCG(seed, 0)), program: program, folder: folder, ledger: newLedger(),
		store: standin.New(seed), settings: make(map[*instance]string),
	}
	log, err := os.Create(filepath.Join(folder, "faults.log"))
	if err != nil {
		return nil, err
	}
	s.log = log
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(listener, s.store.Handler())
	address := listener.Addr().String()
	s.client = platform.NewStore(netip.MustParseAddrPort(address), http.DefaultClient)
	for n := range 8 {
		for k := range 2 {
			service := fmt.Sprint("s", n+1)
			x, err := newServer(fmt.Sprintf("i-%s-%d", service, k), service, zones[(n+k)%len(zones)], s.ledger, s.excused)
			if err != nil {
				return nil, err
			}
			s.servers = append(s.servers, x)
		}
	}
	for n := range instances {
		i, err := newInstance(fmt.Sprint("instance-", n+1), zones[n%len(zones)], address)
		if err != nil {
			return nil, err
		}
		s.instances = append(s.instances, i)
	}
	return s, nil
}

func (s *soak) excused() bool { return time.Now().UnixNano() < s.unwell.Load() }

// rotation picks an instance that the balancer would offer.
func (s *soak) rotation() *instance {
	i := s.instances[rand.IntN(len(s.instances))]
	if ready, ok := s.ready.Load(i); !ok || !ready.(bool) {
		return nil
	}
	return i
}

// run starts everything, brings about faults until the time is over, and ends
// it.
func (s *soak) run(until time.Time) {
	s.configure()
	for _, x := range s.servers {
		s.register(x, false)
	}
	var seeds []string
	for _, i := range s.instances {
		seeds = append(seeds, fmt.Sprintf("%q", i.peers))
	}
	for _, i := range s.instances {
		path, err := i.settings(s.folder, strings.Join(seeds, ", "))
		if err != nil {
			s.ledger.find("settings: %v", err)
			return
		}
		s.settings[i] = path
		if err := i.start(s.program, path, s.folder); err != nil {
			s.ledger.find("start: %v", err)
			return
		}
		go s.balance(i, until)
	}
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() { s.call(n, until) })
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(s.rand.Int64N(int64(2 * faultPause))))
		s.fault()
	}
	wg.Wait()
	s.restarts.Wait()
	for _, i := range s.instances {
		i.signal(syscall.SIGCONT, true)
		<-i.signal(syscall.SIGKILL, true)
	}
}

// balance asks an instance once a second whether it is ready, as the balancer
// does; two misses take it out.
func (s *soak) balance(i *instance, until time.Time) {
	misses := 0
	for time.Now().Before(until) {
		if i.ready() {
			misses = 0
			s.ready.Store(i, true)
		} else if misses++; misses >= 2 {
			s.ready.Store(i, false)
		}
		time.Sleep(time.Second)
	}
}

// configure writes the next version of the configuration.
func (s *soak) configure() {
	s.version += 3
	c := standin.Configuration{
		Version: s.version, Host: "soak", SearchPrefix: "/all/", SinglePrefix: "/one/", Single: "s1",
		Shards: versions[s.version%len(versions)], Results: results, LeastShare: leastShare,
		Timeout: patience, Objective: objective,
	}
	for n := range 8 {
		c.Services = append(c.Services, fmt.Sprint("s", n+1))
	}
	s.put(standin.ConfigurationKey, c.Record())
}

func (s *soak) register(x *server, draining bool) {
	r := standin.Server{Service: x.service, Address: x.proxy.address, Zone: x.zone, Draining: draining}
	s.put(standin.ServerKey(x.id), r.Record())
}

// put writes a key as operators and servers do, until the store takes it.
func (s *soak) put(key string, value []byte) {
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		_, err := s.client.Commit(ctx, nil, []platform.Write{{Key: key, Value: value}}, nil)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
