package member

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/blackboard"
)

var errUnreachable = errors.New("address unreachable")

// network connects the probers of one test. It drops messages at random, and all
// those between disconnected addresses.
type network struct {
	mu           sync.Mutex
	nodes        map[netip.AddrPort]*node
	loss         float64
	disconnected func(a, b netip.AddrPort) bool
	rng          *rand.Rand
	// messages counts the probes and requests to helpers that arrived.
	messages int
}

type node struct {
	address netip.AddrPort
	board   *blackboard.Board
	table   *Table
	prober  *Prober
	cancel  context.CancelFunc
}

func newNetwork() *network {
	return &network{
		nodes:        make(map[netip.AddrPort]*node),
		disconnected: func(netip.AddrPort, netip.AddrPort) bool { return false },
		rng:          rand.New(rand.NewPCG(1, 1)),
	}
}

// join starts an instance whose only seed is the address of the first one.
func (w *network) join(ctx context.Context, i int) *node {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
	n := &node{address: address, board: blackboard.New(blackboard.LocalInstance{})}
	self := blackboard.Member{Name: fmt.Sprintf("i%03d", i), Address: address, Incarnation: uint64(time.Now().UnixMilli())}
	n.table = NewTable(n.board, self, time.Now)
	n.prober = NewProber(n.board, n.table)
	n.prober.Seeds = func(context.Context) []netip.AddrPort {
		return []netip.AddrPort{netip.AddrPortFrom(address.Addr(), 1000)}
	}
	n.prober.OnNewerVersion = func(_ context.Context, from netip.AddrPort, _ blackboard.Version) {
		if n.board.Install(w.node(from).board.Config.Load()) {
			n.prober.GossipNow()
		}
	}
	n.prober.Ping = func(ctx context.Context, to netip.AddrPort, g Gossip) (Gossip, error) {
		return w.ping(ctx, address, to, g)
	}
	n.prober.PingVia = func(ctx context.Context, helper, target netip.AddrPort) error {
		h := w.route(address, helper)
		if h == nil {
			return errUnreachable
		}
		_, err := w.ping(ctx, helper, target, h.table.NextGossip())
		return err
	}
	w.withLock(func() { w.nodes[address] = n })
	ctx, n.cancel = context.WithCancel(ctx)
	go n.prober.Run(ctx)
	return n
}

func (w *network) ping(ctx context.Context, from, to netip.AddrPort, g Gossip) (Gossip, error) {
	time.Sleep(time.Millisecond)
	target := w.route(from, to)
	if target == nil {
		<-ctx.Done()
		return Gossip{}, errUnreachable
	}
	target.prober.HandleGossip(context.WithoutCancel(ctx), g)
	return target.table.Reply(g.From.Name), nil
}

// route returns the node that a message reaches, or nil if the message is lost.
func (w *network) route(from, to netip.AddrPort) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	target := w.nodes[to]
	if target == nil || w.disconnected(from, to) || w.rng.Float64() < w.loss {
		return nil
	}
	w.messages++
	return target
}

// withLock calls f while no message is being routed.
func (w *network) withLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// node returns the node at an address.
func (w *network) node(address netip.AddrPort) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[address]
}

// countStates counts the members by state in the view of a node.
func (n *node) countStates() map[blackboard.MemberState]int {
	counts := make(map[blackboard.MemberState]int)
	for _, m := range n.board.Members.Load().List {
		counts[m.State]++
	}
	return counts
}

func runInBubble(t *testing.T, test func(t *testing.T, ctx context.Context, w *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(t, ctx, newNetwork())
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

func TestStoppedInstanceIsDeclaredDead(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, w *network) {
		var nodes []*node
		for i := range 4 {
			nodes = append(nodes, w.join(ctx, i))
		}
		time.Sleep(3 * time.Second)
		if got := nodes[3].countStates()[blackboard.Alive]; got != 4 {
			t.Fatalf("%d members alive, want 4", got)
		}
		nodes[1].cancel()
		w.withLock(func() { delete(w.nodes, nodes[1].address) })
		time.Sleep(6 * time.Second)
		for _, i := range []int{0, 2, 3} {
			if got := nodes[i].countStates(); got[blackboard.Dead] != 1 || got[blackboard.Alive] != 3 {
				t.Errorf("instance %d sees %v, want 1 dead and 3 alive", i, got)
			}
		}
	})
}

// Two instances that cannot reach each other directly must stay alive in each
// other's view as long as other instances reach both.
func TestIndirectProbesKeepMemberAlive(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, w *network) {
		var nodes []*node
		for i := range 4 {
			nodes = append(nodes, w.join(ctx, i))
		}
		time.Sleep(3 * time.Second)
		w.withLock(func() {
			w.disconnected = func(a, b netip.AddrPort) bool {
				return a == nodes[0].address && b == nodes[1].address || a == nodes[1].address && b == nodes[0].address
			}
		})
		for range 20 {
			time.Sleep(time.Second)
			if got := nodes[0].countStates()[blackboard.Dead]; got != 0 {
				t.Fatalf("%d members dead, want none", got)
			}
		}
	})
}

// At most one side of a partition may have a majority, so that at most one admits
// requests to cold servers. Once the partition heals, both sides must find each
// other.
func TestPartitionLeavesAtMostOneMajority(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, w *network) {
		var nodes []*node
		for i := range 5 {
			nodes = append(nodes, w.join(ctx, i))
		}
		time.Sleep(3 * time.Second)
		w.withLock(func() {
			w.disconnected = func(a, b netip.AddrPort) bool { return (a.Port() < 1002) != (b.Port() < 1002) }
		})
		time.Sleep(10 * time.Second)
		if nodes[0].board.Members.Load().HasMajority {
			t.Error("the smaller side has a majority")
		}
		if !nodes[4].board.Members.Load().HasMajority {
			t.Error("the larger side has no majority")
		}
		w.withLock(func() { w.disconnected = func(netip.AddrPort, netip.AddrPort) bool { return false } })
		time.Sleep(15 * time.Second)
		for i, n := range nodes {
			if got := n.countStates()[blackboard.Alive]; got != 5 {
				t.Errorf("instance %d sees %d alive after the partition, want 5", i, got)
			}
		}
	})
}

// A configuration change must reach 128 instances in time although 1 message in 10
// is lost, and the number of instances must not affect the traffic of each.
func TestConfigReachesAllInstancesDespiteLostMessages(t *testing.T) {
	const target = 12 * time.Second
	probeRates := make(map[int]float64)
	for _, size := range []int{8, 128} {
		runInBubble(t, func(t *testing.T, ctx context.Context, w *network) {
			var nodes []*node
			for i := range size {
				nodes = append(nodes, w.join(ctx, i))
			}
			time.Sleep(20 * time.Second)
			w.withLock(func() { w.loss, w.messages = 0.1, 0 })
			time.Sleep(20 * time.Second)
			w.withLock(func() { probeRates[size] = float64(w.messages) / float64(size) / 20 })
			start := time.Now()
			nodes[0].board.Install((&blackboard.Config{}).Next(blackboard.Change{ID: "1"}))
			nodes[0].prober.GossipNow()
			for _, n := range nodes {
				for n.board.Config.Load().Revision == 0 && time.Since(start) < target {
					time.Sleep(10 * time.Millisecond)
				}
				if n.board.Config.Load().Revision == 0 {
					t.Fatalf("configuration not in force on all of %d instances after %v", size, target)
				}
			}
			t.Logf("%d instances: configuration in force after %v, %.2f probes/s each", size, time.Since(start), probeRates[size])
		})
	}
	if ratio := probeRates[128] / probeRates[8]; ratio > 1.2 || ratio < 0.8 {
		t.Errorf("probes of one instance change by a factor of %.2f from 8 to 128 members", ratio)
	}
}

// An instance that others report as dead must refute this with a higher
// incarnation.
func TestMemberReportedDeadRefutesWithHigherIncarnation(t *testing.T) {
	now := time.Unix(100, 0)
	board := blackboard.New(blackboard.LocalInstance{})
	table := NewTable(board, blackboard.Member{Name: "a", Incarnation: 5}, func() time.Time { return now })
	table.Receive(Gossip{
		From:    blackboard.Member{Name: "b"},
		Updates: []blackboard.Member{{Name: "a", Incarnation: 5, State: blackboard.Dead}},
	})
	if got := table.Self(); got.Incarnation != 6 || got.State != blackboard.Alive {
		t.Fatalf("got %+v, want incarnation 6, alive", got)
	}
}

// Guards against a message that takes an older revision for the newest because a
// newer one arrives while the message is put together.
func TestGossipDoesNotClaimThatAnOlderRevisionIsCurrent(t *testing.T) {
	table := NewTable(blackboard.New(blackboard.LocalInstance{Name: "a"}), blackboard.Member{Name: "a"}, time.Now)
	revision, age := uint64(1), 5*time.Second
	// Each of the two is followed by the arrival of revision 2.
	table.Version = func() blackboard.Version {
		defer func() { revision, age = 2, 0 }()
		return blackboard.Version{Revision: revision}
	}
	table.Age = func() time.Duration {
		defer func() { revision, age = 2, 0 }()
		return age
	}
	if g := table.NextGossip(); g.From.Revision == 1 && g.Age == 0 {
		t.Fatalf("revision %d was confirmed %v ago, want 5s", g.From.Revision, g.Age)
	}
}
