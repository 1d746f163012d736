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
	instanceCount = 3
	callerCount   = 8
	// endlessCallerCount is the number of callers beside servers that send bytes without
	// end.
	endlessCallerCount = 150
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 700 * time.Millisecond
	// storeRecoveryPeriod is how long after the end of a store fault the checks that
	// depend on the store stay suspended.
	storeRecoveryPeriod = 12 * time.Second
)

// shardSets are the sets of shards between which configuration changes alternate.
var shardSets = [][]string{{"s1", "s2", "s3", "s4", "s5"}, {"s4", "s5", "s6", "s7", "s8"}}

var dataCentres = []string{"north", "south", "west"}

// soak is one run with its simulated environment, instances and findings.
type soak struct {
	rand    *rand.Rand
	program string
	folder  string
	// endlessServers is set if some servers send bytes without end all the time.
	endlessServers bool
	ledger         *ledger
	// log receives a line for each injected fault.
	log           io.Writer
	store         *standin.Store
	client        *platform.Store
	servers       []*server
	instances     []*instance
	settingsPaths map[*instance]string
	faultCount    int
	configVersion int
	// withKeys is set if callers need keys: each version of the configuration withdraws
	// that of the one before at the time in withdrawnAt. Until lateWritesUntil, in
	// nanoseconds since 1970, late writes may bring old versions back.
	withKeys                   bool
	keyNumber, lateWritesUntil atomic.Int64
	withdrawnAt                sync.Map
	// storeFaultUntil is the time until which checks that depend on the store are
	// suspended, in nanoseconds since 1970.
	storeFaultUntil atomic.Int64
	readiness       sync.Map
	// restarts are the restarts in progress.
	restarts sync.WaitGroup
}

// newSoak returns a run. With endless set, one of the two servers of each service sends
// bytes without end all the time.
func newSoak(seed uint64, program, folder string, endlessServers bool) (*soak, error) {
	s := &soak{
		rand: rand.New(rand.NewPCG(seed, 0)), program: program, folder: folder, ledger: newLedger(), endlessServers: endlessServers,
		store: standin.New(seed), settingsPaths: make(map[*instance]string),
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
			server, err := newServer(fmt.Sprintf("i-%s-%d", service, k), service, dataCentres[(n+k)%len(dataCentres)], s.ledger, s.inStoreFault)
			if err != nil {
				return nil, err
			}
			if endlessServers && k == 1 {
				server.usualMode = endless
				server.mode.Store(endless)
			}
			s.servers = append(s.servers, server)
		}
	}
	for n := range instanceCount {
		i, err := newInstance(fmt.Sprint("instance-", n+1), dataCentres[n%len(dataCentres)], address)
		if err != nil {
			return nil, err
		}
		i.onEnd = func(err error) { s.ledger.addFinding("%s ended by itself: %v", i.name, err) }
		s.instances = append(s.instances, i)
	}
	return s, nil
}

func (s *soak) inStoreFault() bool { return time.Now().UnixNano() < s.storeFaultUntil.Load() }

// pickReadyInstance picks a random instance. It returns nil if the load balancer
// would not route requests to that instance.
func (s *soak) pickReadyInstance() *instance {
	i := s.instances[rand.IntN(len(s.instances))]
	if ready, ok := s.readiness.Load(i); !ok || !ready.(bool) {
		return nil
	}
	return i
}

// run starts the instances and callers, injects faults until the given time, and
// stops everything.
func (s *soak) run(until time.Time) {
	s.publishConfiguration()
	for _, target := range s.servers {
		s.registerServer(target, false)
	}
	var peerAddresses []string
	for _, i := range s.instances {
		peerAddresses = append(peerAddresses, fmt.Sprintf("%q", i.peerAddress))
	}
	for _, i := range s.instances {
		path, err := i.writeSettings(s.folder, strings.Join(peerAddresses, ", "), s.keySettings())
		if err != nil {
			s.ledger.addFinding("write settings: %v", err)
			return
		}
		s.settingsPaths[i] = path
		if err := i.start(s.program, path, s.folder); err != nil {
			s.ledger.addFinding("start instance: %v", err)
			return
		}
		go s.pollReadiness(i, until)
		go s.watchMemory(i, until)
	}
	var wg sync.WaitGroup
	callers, deafCallers := callerCount, 0
	if s.endlessServers {
		callers, deafCallers = endlessCallerCount, deafCallerCount
	}
	for n := range callers {
		wg.Go(func() { s.sendRequests(n, until) })
	}
	for n := range deafCallers {
		wg.Go(func() { s.sendUnread(n, until) })
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(s.rand.Int64N(int64(2 * meanFaultInterval))))
		s.injectFault()
		if s.withKeys {
			s.publishConfiguration()
		}
	}
	wg.Wait()
	s.restarts.Wait()
	for _, i := range s.instances {
		i.restarting.Store(true)
		i.signal(syscall.SIGCONT, true)
		<-i.signal(syscall.SIGKILL, true)
	}
}

// pollReadiness polls the readiness of an instance once a second, as the load
// balancer does; after two failures in a row the instance gets no requests.
func (s *soak) pollReadiness(i *instance, until time.Time) {
	failures := 0
	for time.Now().Before(until) {
		if i.isReady() {
			failures = 0
			s.readiness.Store(i, true)
		} else if failures++; failures >= 2 {
			s.readiness.Store(i, false)
		}
		time.Sleep(time.Second)
	}
}

// publishConfiguration writes the next version of the configuration to the store.
func (s *soak) publishConfiguration() {
	s.configVersion += 3
	c := standin.Configuration{
		Version: s.configVersion, Host: "soak", SearchPrefix: "/all/", SinglePrefix: "/one/", SingleService: "s1",
		ShardServices: shardSets[s.configVersion%len(shardSets)], MaxRecords: maxRecords, MinCoverage: minCoverage,
		Timeout: requestTimeout, TargetLatency: targetLatency,
	}
	if key := s.keyNumber.Add(1); s.withKeys {
		c.Keys = []string{fmt.Sprint("key-", key)}
	}
	for n := range 8 {
		c.Services = append(c.Services, fmt.Sprint("s", n+1))
	}
	s.putWithRetries(standin.ConfigurationKey, c.Record())
	s.withdrawnAt.Store(s.keyNumber.Load()-1, time.Now())
}

func (s *soak) registerServer(target *server, draining bool) {
	r := standin.Server{Service: target.service, Address: target.proxy.address, DataCentre: target.dataCentre, Draining: draining}
	s.putWithRetries(standin.ServerKey(target.id), r.Record())
}

// putWithRetries writes a key, with up to 100 attempts, as operators and backend
// servers do.
func (s *soak) putWithRetries(key string, value []byte) {
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
