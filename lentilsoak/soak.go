package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
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
	meanFaultInterval = 250 * time.Millisecond
)

// shardSets are the sets of shards between which configuration changes alternate.
var shardSets = [][]string{{"s1", "s2", "s3", "s4", "s5"}, {"s4", "s5", "s6", "s7", "s8"}}

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
	operator      operator
	dataCentres   []*dataCentre
	// withdrawing is set while a data centre is withdrawn.
	withdrawing atomic.Bool
	returnCount atomic.Int64
	// withKeys is set if callers need keys: each version of the configuration withdraws
	// that of the one before at the time in withdrawnAt. lateWrites is disturbed while late
	// writes may bring old versions back.
	withKeys    bool
	keyNumber   atomic.Int64
	lateWrites  calm
	withdrawnAt sync.Map
	storeCalm   calm
	readiness   sync.Map
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
	for _, name := range []string{"north", "south", "west"} {
		s.dataCentres = append(s.dataCentres, &dataCentre{name: name})
	}
	for n := range 8 {
		for k := range 2 {
			service := fmt.Sprint("s", n+1)
			server, err := newServer(fmt.Sprintf("i-%s-%d", service, k), service, s.dataCentres[(n+k)%len(s.dataCentres)], s.ledger, s.inTouch)
			if err != nil {
				return nil, err
			}
			server.announces = k == 1
			if endlessServers && k == 1 {
				server.usualMode = endless
				server.mode.Store(endless)
			}
			s.servers = append(s.servers, server)
		}
	}
	for n := range instanceCount {
		i, err := newInstance(fmt.Sprint("instance-", n+1), s.dataCentres[n%len(s.dataCentres)].name, address)
		if err != nil {
			return nil, err
		}
		i.onEnd = func(err error) { s.ledger.addFinding("%s ended by itself: %v", i.name, err) }
		s.instances = append(s.instances, i)
	}
	return s, nil
}

// inTouch reports whether bounds in time hold for all instances: which of them sent a request
// can't be told, since they send for each other. The rules ("In touch") exempt those that were
// started, stopped, frozen or cut from the store within stableWindow, and all of them if the
// store was disturbed within it.
func (s *soak) inTouch() bool {
	since := time.Now().Add(-stableWindow)
	disturbed := func(i *instance) bool { return !i.heldSince(since) }
	return s.storeCalm.heldSince(since) && !slices.ContainsFunc(s.instances, disturbed)
}

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
		go s.sendHeartbeats(target, until)
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
	for begin := time.Now(); time.Now().Before(until); {
		time.Sleep(time.Duration(s.rand.Int64N(int64(2 * meanFaultInterval))))
		s.injectFault(kindsAt(time.Since(begin)))
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
