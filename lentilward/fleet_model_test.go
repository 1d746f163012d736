package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/peer"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// Limits and names used in the model.
const (
	modelMaxConnections = 30
	modelRetrySlack     = 52
	modelRetryRatio     = 0.2
	modelRetryWindow    = 10 * time.Second
	modelService        = "s1"
	modelServer         = "i-1"
)

var storeAddress = netip.MustParseAddrPort("10.200.0.1:80")

// errUnreachable is the error of a connection to an address at which nothing listens.
var errUnreachable = fmt.Errorf("unreachable: %w", syscall.ECONNREFUSED)

// model simulates a fleet of complete instances without sockets: requests to the
// stand-in of the store are function calls in the same process, and so are
// messages between peers.
type model struct {
	ctx    context.Context
	random *rand.Rand
	// poisonRandom picks the machines that poison requests are sent to.
	poisonRandom *rand.Rand
	store        *standin.Store
	handler      http.Handler
	nodes        atomic.Pointer[[]*node]
	// writtenVersion is the newest configuration version that was written,
	// committedVersion the newest whose write the store has acknowledged.
	writtenVersion, committedVersion int
	// faultLog lists the injected faults for the error message.
	faultLog []string
	mu       sync.Mutex
	calls    []recordedCall
}

// recordedCall is the first call of a request, or a retry.
type recordedCall struct {
	at    time.Time
	retry bool
}

// node is one machine and the instance that runs on it.
type node struct {
	model *model
	name  string
	host  string
	// gateway is the running instance, or the last one that ran.
	gateway atomic.Pointer[Gateway]
	cancel  context.CancelFunc
	// down is set while no instance runs, frozen while the instance sends and
	// receives nothing. peersUnreachable and storeUnreachable are set while the
	// machine cannot reach its peers, or the store.
	down, frozen, peersUnreachable, storeUnreachable atomic.Bool
	// partition is the side of a network partition between peers that the
	// machine is on.
	partition atomic.Int32
	// server is the instance's state of the one backend server.
	server atomic.Pointer[balance.Server]
}

func newModel(ctx context.Context, seed uint64, instances int) *model {
	m := &model{ctx: ctx, random: rand.New(rand.NewPCG(seed, 2)), poisonRandom: rand.New(rand.NewPCG(seed, 3)), store: standin.New(seed)}
	m.handler = m.store.Handler()
	m.nodes.Store(&[]*node{})
	m.publishConfiguration()
	m.writeRecord(standin.ServerKey(modelServer), standin.Server{Service: modelService, Address: "10.9.0.1:80", DataCentre: "z1"}.Record())
	for range instances {
		m.addMachine()
	}
	return m
}

// addMachine adds a machine and starts an instance on it.
func (m *model) addMachine() *node {
	machines := m.machines()
	n := &node{model: m, name: fmt.Sprintf("n%d", len(machines)), host: fmt.Sprintf("10.0.0.%d", len(machines)+1)}
	n.down.Store(true)
	next := append(slices.Clone(machines), n)
	m.nodes.Store(&next)
	n.start()
	return n
}

func (n *node) address() netip.AddrPort { return netip.MustParseAddrPort(n.host + ":8106") }

// machines returns all machines.
func (m *model) machines() []*node { return *m.nodes.Load() }

// start runs a new instance on the machine.
func (n *node) start() {
	m := n.model
	o := &Options{Name: n.name, DataCentre: "z1"}
	o.Listen.Peers = n.address()
	for _, x := range m.machines()[:min(3, len(m.machines()))] {
		o.Peers = append(o.Peers, x.address())
	}
	o.Apply = duration(defaultApply)
	o.RetryBudget.Ratio, o.RetryBudget.Slack, o.RetryBudget.Window = modelRetryRatio, modelRetrySlack, duration(modelRetryWindow)
	o.Search.Hedge = true
	store := platform.NewStore(storeAddress, &http.Client{Transport: n})
	g := newGateway(o, store, slog.New(slog.DiscardHandler), &slog.LevelVar{})
	g.prober.Ping = func(ctx context.Context, to netip.AddrPort, gossip member.Gossip) (member.Gossip, error) {
		other, err := m.deliver(ctx, n, to)
		if err != nil {
			return member.Gossip{}, err
		}
		return other.gateway.Load().peers.Ping(ctx, gossip), nil
	}
	g.prober.PingVia = func(ctx context.Context, helper, target netip.AddrPort) error {
		other, err := m.deliver(ctx, n, helper)
		if err != nil {
			return err
		}
		return other.gateway.Load().peers.Probe(ctx, target)
	}
	g.peers.Probe = func(ctx context.Context, target netip.AddrPort) error {
		_, err := g.prober.Ping(ctx, target, g.table.NextGossip())
		return err
	}
	g.fetchRecords = func(ctx context.Context, to netip.AddrPort, since blackboard.Version) (peer.RecordsReply, error) {
		other, err := m.deliver(ctx, n, to)
		if err != nil {
			return peer.RecordsReply{}, err
		}
		return other.gateway.Load().peers.Records(since), nil
	}
	g.suspects.Broadcast = func(_ context.Context, s []suspect.Report) {
		for _, x := range g.board.Members.Load().AlivePeers() {
			go func() {
				ctx, cancel := context.WithTimeout(m.ctx, time.Second)
				defer cancel()
				if other, err := m.deliver(ctx, n, x.Address); err == nil {
					g.suspects.AcceptRuns(ctx, other.gateway.Load().peers.MergeSuspects(s))
				}
			}()
		}
	}
	g.trials.ask = func(ctx context.Context, to netip.AddrPort, known suspect.Report, length time.Duration) (suspect.Grant, error) {
		other, err := m.deliver(ctx, n, to)
		if err != nil {
			return suspect.Grant{}, err
		}
		return other.gateway.Load().peers.GrantTrial(ctx, known, length), nil
	}
	g.trials.tell = func(ctx context.Context, to netip.AddrPort, known suspect.Report) error {
		other, err := m.deliver(ctx, n, to)
		if err == nil {
			other.gateway.Load().peers.EndTrial(known)
		}
		return err
	}
	g.directory.NewServer = func(b domain.BackendServer) *balance.Server {
		pool := conn.NewPool(b.Address)
		pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errUnreachable }
		s := balance.NewServer(b, pool, false)
		n.server.Store(s)
		return s
	}
	ctx, cancel := context.WithCancel(m.ctx)
	n.cancel = cancel
	n.gateway.Store(g)
	n.down.Store(false)
	go g.directory.Run(ctx)
	go g.prober.Run(ctx)
	go g.follower.Run(ctx)
	go g.keepRegistered(ctx)
	go g.poisonWriter.Run(ctx)
	go g.transferState(ctx)
}

// kill stops the instance abruptly, without a message to its peers.
func (n *node) kill() {
	n.down.Store(true)
	n.cancel()
}

// deliver simulates the delivery of a message to an address and returns the
// machine there. It fails at once if no instance runs there. If the instance is
// frozen or the network loses the message, it blocks until the context ends.
func (m *model) deliver(ctx context.Context, from *node, to netip.AddrPort) (*node, error) {
	time.Sleep(time.Millisecond)
	for _, target := range m.machines() {
		if target.address() != to {
			continue
		}
		if target.down.Load() {
			return nil, errUnreachable
		}
		if from.isInactive() || target.isInactive() || from.peersUnreachable.Load() || target.peersUnreachable.Load() || from.partition.Load() != target.partition.Load() {
			<-ctx.Done()
			return nil, errUnreachable
		}
		return target, nil
	}
	return nil, errUnreachable
}

func (n *node) isInactive() bool { return n.down.Load() || n.frozen.Load() }

// RoundTrip passes a request to the store if the machine can reach it; otherwise
// it blocks until the context ends.
func (n *node) RoundTrip(r *http.Request) (*http.Response, error) {
	if n.isInactive() || n.storeUnreachable.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return handlerTransport{n.model.handler, n.host}.RoundTrip(r)
}

// handlerTransport passes requests directly to a handler, in place of a server.
type handlerTransport struct {
	handler http.Handler
	host    string
}

func (p handlerTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = errUnreachable
		}
	}()
	call := r.Clone(r.Context())
	call.RemoteAddr = p.host + ":1"
	if call.Body == nil {
		call.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	p.handler.ServeHTTP(w, call)
	return w.Result(), nil
}

// writeRecord writes a record to the store, as operators and backend servers do,
// and reports whether the store acknowledged it.
func (m *model) writeRecord(key string, value []byte) bool {
	c := platform.NewStore(storeAddress, &http.Client{Transport: handlerTransport{m.handler, "10.250.0.1"}})
	ctx, cancel := context.WithTimeout(m.ctx, time.Second)
	defer cancel()
	_, err := c.Commit(ctx, nil, []platform.Write{{Key: key, Value: value}}, nil)
	return err == nil
}

// publishConfiguration writes a new version of the configuration and reports
// whether the store acknowledged it.
func (m *model) publishConfiguration() bool {
	next := standin.Configuration{
		Version: m.writtenVersion + 1 + m.random.IntN(4), Host: "h", SearchPrefix: "/a/", SinglePrefix: "/b/",
		ShardServices: []string{modelService}, SingleService: modelService, Services: []string{modelService}, MaxRecords: 5, MinCoverage: 1,
		Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
	}
	m.writtenVersion = next.Version
	if !m.writeRecord(standin.ConfigurationKey, next.Record()) {
		return false
	}
	m.committedVersion = next.Version
	return true
}

// injectFault injects one random fault at one machine, or at all of them.
func (m *model) injectFault() {
	n := m.machines()[m.random.IntN(len(m.machines()))]
	length := time.Duration(1+m.random.IntN(8)) * time.Second
	setFor := func(flag *atomic.Bool, length time.Duration) {
		flag.Store(true)
		time.AfterFunc(length, func() { flag.Store(false) })
	}
	faults := []struct {
		name   string
		inject func()
	}{
		{"freeze", func() { setFor(&n.frozen, length) }},
		{"peers unreachable", func() { setFor(&n.peersUnreachable, length) }},
		{"store unreachable", func() { setFor(&n.storeUnreachable, length) }},
		{"store refuses machine", func() { m.store.RefuseCaller(n.host, length) }},
		{"partition", func() { n.partition.Store(1) }},
		{"kill", func() { n.restart(length / 4) }},
		{"stop", func() {
			n.gateway.Load().table.Leave()
			time.Sleep(100 * time.Millisecond)
			n.restart(0)
		}},
		{"kill all", func() {
			for _, x := range m.machines() {
				x.restart(length / 4)
			}
		}},
		{"store outage", func() { m.store.StartOutage(length, m.random.IntN(2) == 0, m.random.IntN(2) == 0) }},
		{"store loses replies", func() { m.store.LoseReplies(0.3, length, m.random.IntN(2) == 0) }},
		{"store compaction", func() { m.store.Compact(time.Second) }},
		{"kill while peers unreachable", func() {
			// Longer than the window of the retry budget.
			setFor(&n.peersUnreachable, length+modelRetryWindow+2*time.Second)
			if m.random.IntN(2) == 0 {
				setFor(&n.storeUnreachable, length+modelRetryWindow+2*time.Second)
			}
			n.restart(100 * time.Millisecond)
		}},
		{"add machine", func() {
			if len(m.machines()) < 6 {
				m.addMachine()
			}
		}},
	}
	fault := faults[m.random.IntN(len(faults))]
	m.faultLog = append(m.faultLog, fmt.Sprintf("%v: %s at %s for %v", time.Now().Format("05.000"), fault.name, n.name, length))
	fault.inject()
}

// restart kills the instance and starts a new one after a delay.
func (n *node) restart(after time.Duration) {
	if n.down.Load() {
		return
	}
	n.kill()
	time.AfterFunc(after, func() {
		if n.model.ctx.Err() == nil {
			n.start()
		}
	})
}

// clearFaults ends the faults of all machines and links.
func (m *model) clearFaults() {
	for _, n := range m.machines() {
		n.partition.Store(0)
		n.peersUnreachable.Store(false)
		n.storeUnreachable.Store(false)
		n.frozen.Store(false)
	}
}
