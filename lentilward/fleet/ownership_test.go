package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/member"
)

// peer is one of several instances that use the same cold server.
type peer struct {
	address   netip.AddrPort
	board     *blackboard.Board
	table     *member.Table
	prober    *member.Prober
	fleet     *Fleet
	server    *blackboard.Server
	partition atomic.Int32
	paused    atomic.Bool
}

var errUnreachable = errors.New("peer unreachable")

// cluster is a set of instances that can be partitioned and paused.
type cluster []*peer

func newCluster(ctx context.Context, n int) cluster {
	var c cluster
	for i := range n {
		p := &peer{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1+i))}
		p.board = blackboard.New(blackboard.LocalInstance{})
		p.table = member.NewTable(p.board, blackboard.Member{Name: fmt.Sprintf("i%d", i), Address: p.address, Incarnation: 1}, time.Now)
		p.prober = member.NewProber(p.board, p.table)
		p.prober.Seeds = func(context.Context) []netip.AddrPort { return c.addresses() }
		p.prober.OnNewerVersion = func(context.Context, netip.AddrPort, blackboard.Version) {}
		p.prober.Ping = func(ctx context.Context, to netip.AddrPort, gossip member.Gossip) (member.Gossip, error) {
			return c.ping(ctx, p, c[to.Port()-1], gossip)
		}
		p.prober.PingVia = func(ctx context.Context, helper, target netip.AddrPort) error {
			if !canReach(p, c[helper.Port()-1]) {
				return errUnreachable
			}
			_, err := c.ping(ctx, c[helper.Port()-1], c[target.Port()-1], c[helper.Port()-1].table.NextGossip())
			return err
		}
		p.fleet = New(p.board, slog.New(slog.DiscardHandler))
		p.server = &blackboard.Server{Address: netip.MustParseAddrPort("127.0.0.1:9000")}
		p.server.SetBootID(1)
		p.server.ColdLimit.Store(1)
		c = append(c, p)
	}
	for _, p := range c {
		go p.prober.Run(ctx)
		go p.tune(ctx)
	}
	return c
}

func (c cluster) addresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, p := range c {
		list = append(list, p.address)
	}
	return list
}

func canReach(a, b *peer) bool {
	return a.partition.Load() == b.partition.Load() && !a.paused.Load() && !b.paused.Load()
}

func (c cluster) ping(ctx context.Context, from, to *peer, gossip member.Gossip) (member.Gossip, error) {
	time.Sleep(time.Millisecond)
	if !canReach(from, to) {
		<-ctx.Done()
		return member.Gossip{}, errUnreachable
	}
	to.prober.HandleGossip(ctx, gossip)
	return to.table.Reply(gossip.From.Name), nil
}

func (p *peer) tune(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.paused.Load() {
			p.fleet.tuneColdServer(p.server, p.board.Members.Load(), time.Now())
		}
		time.Sleep(tunePeriod)
	}
}

// countOwners counts the instances that would admit requests to the cold server now.
func (c cluster) countOwners() int {
	n := 0
	for _, p := range c {
		if p.server.OwnedLocally() && p.server.Limit.Load() > 0 {
			n++
		}
	}
	return n
}

// Under any sequence of pauses and partitions, at no time may two instances admit
// requests to the same cold server. Soon after all faults end, one must.
func TestAtMostOneInstanceAdmitsToColdServer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		size := rapid.IntRange(2, 6).Draw(rt, "instances")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			rng := rand.New(rand.NewPCG(seed, 1))
			c := newCluster(ctx, size)
			for range 12 {
				c.injectFault(rng)
				for range 20 + rng.IntN(200) {
					time.Sleep(50 * time.Millisecond)
					if n := c.countOwners(); n > 1 {
						t.Errorf("seed %d, %d instances: %d owners, want at most 1", seed, size, n)
					}
				}
			}
			c.heal()
			time.Sleep(20 * time.Second)
			if n := c.countOwners(); n != 1 {
				t.Errorf("seed %d, %d instances: %d owners after all faults ended, want 1", seed, size, n)
			}
			cancel()
			time.Sleep(time.Minute)
			synctest.Wait()
		})
	})
}

// injectFault partitions off or pauses one random instance, or ends all faults.
func (c cluster) injectFault(rng *rand.Rand) {
	p := c[rng.IntN(len(c))]
	switch rng.IntN(4) {
	case 0:
		p.partition.Store(1)
	case 1:
		p.paused.Store(true)
	default:
		c.heal()
	}
}

func (c cluster) heal() {
	for _, p := range c {
		p.partition.Store(0)
		p.paused.Store(false)
	}
}
