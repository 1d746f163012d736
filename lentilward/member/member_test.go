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

var errCut = errors.New("cut off")

// network joins the probers of one test. It loses messages and cuts pairs.
type network struct {
	mu    sync.Mutex
	nodes map[netip.AddrPort]*node
	loss  float64
	cut   func(a, b netip.AddrPort) bool
	draw  *rand.Rand
	// messages counts those that arrived.
	messages int
}

type node struct {
	address netip.AddrPort
	board   *blackboard.Board
	table   *Table
	prober  *Prober
	stop    context.CancelFunc
}

func newNetwork() *network {
	return &network{
		nodes: make(map[netip.AddrPort]*node),
		cut:   func(netip.AddrPort, netip.AddrPort) bool { return false },
		draw:  rand.New(rand.NewPCG(1, 1)),
	}
}

// join starts an instance that knows the address of the first one.
func (w *network) join(ctx context.Context, i int) *node {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
	n := &node{address: address, board: blackboard.New(blackboard.Own{})}
	self := blackboard.Member{Name: fmt.Sprintf("i%03d", i), Address: address, Incarnation: uint64(time.Now().UnixMilli())}
	n.table = NewTable(n.board, self, time.Now)
	n.prober = NewProber(n.board, n.table)
	n.prober.Seeds = func(context.Context) []netip.AddrPort {
		return []netip.AddrPort{netip.AddrPortFrom(address.Addr(), 1000)}
	}
	n.prober.Newer = func(_ context.Context, from netip.AddrPort) {
		if n.board.Install(w.node(from).board.Config.Load()) {
			n.prober.Nudge()
		}
	}
	n.prober.Ping = func(ctx context.Context, to netip.AddrPort, g Gossip) (Gossip, error) {
		return w.ping(ctx, address, to, g)
	}
	n.prober.PingVia = func(ctx context.Context, helper, target netip.AddrPort) error {
		h := w.route(address, helper)
		if h == nil {
			return errCut
		}
		_, err := w.ping(ctx, helper, target, h.table.Gossip())
		return err
	}
	w.change(func() { w.nodes[address] = n })
	ctx, n.stop = context.WithCancel(ctx)
	go n.prober.Run(ctx)
	return n
}

func (w *network) ping(ctx context.Context, from, to netip.AddrPort, g Gossip) (Gossip, error) {
	time.Sleep(time.Millisecond)
	target := w.route(from, to)
	if target == nil {
		<-ctx.Done()
		return Gossip{}, errCut
	}
	target.prober.Heard(context.WithoutCancel(ctx), g)
	return target.table.Answer(g.From.Name), nil
}

// route returns the node that a message reaches, or nil if it is lost.
func (w *network) route(from, to netip.AddrPort) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	target := w.nodes[to]
	if target == nil || w.cut(from, to) || w.draw.Float64() < w.loss {
		return nil
	}
	w.messages++
	return target
}

// change changes the network between messages.
func (w *network) change(f func()) {
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

// states counts what a node believes of the others.
func (n *node) states() map[blackboard.MemberState]int {
	counts := make(map[blackboard.MemberState]int)
	for _, m := range n.board.Members.Load().List {
		counts[m.State]++
	}
	return counts
}

func inBubble(t *testing.T, test func(t *testing.T, ctx context.Context, w *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(t, ctx, newNetwork())
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

func TestLostInstanceIsNoticed(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, w *network) {
		var nodes []*node
		for i := range 4 {
			nodes = append(nodes, w.join(ctx, i))
		}
		time.Sleep(3 * time.Second)
		if got := nodes[3].states()[blackboard.Alive]; got != 4 {
			t.Fatalf("%d members alive, want 4", got)
		}
		nodes[1].stop()
		w.change(func() { delete(w.nodes, nodes[1].address) })
		time.Sleep(6 * time.Second)
		for _, i := range []int{0, 2, 3} {
			if got := nodes[i].states(); got[blackboard.Dead] != 1 || got[blackboard.Alive] != 3 {
				t.Errorf("instance %d sees %v, want 1 dead and 3 alive", i, got)
			}
		}
	})
}

// A pair that cannot reach each other directly goes on as members, since
// others reach both.
func TestIndirectProbesSaveAMember(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, w *network) {
		var nodes []*node
		for i := range 4 {
			nodes = append(nodes, w.join(ctx, i))
		}
		time.Sleep(3 * time.Second)
		w.change(func() {
			w.cut = func(a, b netip.AddrPort) bool {
				return a == nodes[0].address && b == nodes[1].address || a == nodes[1].address && b == nodes[0].address
			}
		})
		for range 20 {
			time.Sleep(time.Second)
			if got := nodes[0].states()[blackboard.Dead]; got != 0 {
				t.Fatalf("%d members dead, want none", got)
			}
		}
	})
}

// Of the two sides of a partition at most one has a majority, so at most one
// admits work to cold servers. Afterwards both find each other.
func TestPartitionLeavesOneMajority(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, w *network) {
		var nodes []*node
		for i := range 5 {
			nodes = append(nodes, w.join(ctx, i))
		}
		time.Sleep(3 * time.Second)
		w.change(func() { w.cut = func(a, b netip.AddrPort) bool { return (a.Port() < 1002) != (b.Port() < 1002) } })
		time.Sleep(10 * time.Second)
		if nodes[0].board.Members.Load().HasMajority {
			t.Error("the smaller side has a majority")
		}
		if !nodes[4].board.Members.Load().HasMajority {
			t.Error("the larger side has no majority")
		}
		w.change(func() { w.cut = func(netip.AddrPort, netip.AddrPort) bool { return false } })
		time.Sleep(15 * time.Second)
		for i, n := range nodes {
			if got := n.states()[blackboard.Alive]; got != 5 {
				t.Errorf("instance %d sees %d alive after the partition, want 5", i, got)
			}
		}
	})
}

// A change reaches 128 instances in time though 1 message in 10 is lost, and
// the traffic of one instance does not depend on their number.
func TestChangeSpreadsAtTheTargetLoss(t *testing.T) {
	const target = 12 * time.Second
	perNode := make(map[int]float64)
	for _, size := range []int{8, 128} {
		inBubble(t, func(t *testing.T, ctx context.Context, w *network) {
			var nodes []*node
			for i := range size {
				nodes = append(nodes, w.join(ctx, i))
			}
			time.Sleep(20 * time.Second)
			w.change(func() { w.loss, w.messages = 0.1, 0 })
			time.Sleep(20 * time.Second)
			w.change(func() { perNode[size] = float64(w.messages) / float64(size) / 20 })
			begin := time.Now()
			nodes[0].board.Install((&blackboard.Config{}).Next(blackboard.Change{ID: "1"}))
			nodes[0].prober.Nudge()
			for _, n := range nodes {
				for n.board.Config.Load().Revision == 0 && time.Since(begin) < target {
					time.Sleep(10 * time.Millisecond)
				}
				if n.board.Config.Load().Revision == 0 {
					t.Fatalf("not in force on every one of %d instances after %v", size, target)
				}
			}
			t.Logf("%d instances: in force after %v, %.2f probes a second each", size, time.Since(begin), perNode[size])
		})
	}
	if ratio := perNode[128] / perNode[8]; ratio > 1.2 || ratio < 0.8 {
		t.Errorf("probes of one instance change by a factor of %.2f from 8 to 128 members", ratio)
	}
}

// A member that was believed dead refutes with a higher incarnation.
func TestRefutation(t *testing.T) {
	now := time.Unix(100, 0)
	board := blackboard.New(blackboard.Own{})
	table := NewTable(board, blackboard.Member{Name: "a", Incarnation: 5}, func() time.Time { return now })
	table.Receive(Gossip{
		From: blackboard.Member{Name: "b"},
		News: []blackboard.Member{{Name: "a", Incarnation: 5, State: blackboard.Dead}},
	})
	if got := table.Self(); got.Incarnation != 6 || got.State != blackboard.Alive {
		t.Fatalf("got %+v, want incarnation 6, alive", got)
	}
}
