package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"lentilward.org/lentilward/blackboard"
)

const (
	// probePeriod is the time between two probes that one instance sends,
	// whatever the number of members.
	probePeriod = 500 * time.Millisecond
	// probeTimeout bounds a direct probe, and indirectTimeout one through a
	// helper.
	probeTimeout    = 300 * time.Millisecond
	indirectTimeout = 600 * time.Millisecond
	// maxProbeHelpers bounds the members that are asked to probe a member that
	// did not reply.
	maxProbeHelpers = 2
	// maxImmediateTargets bounds the members that GossipNow probes.
	maxImmediateTargets = 3
	// seedPeriod is the time between two probes of the seed addresses, and
	// eagerSeedPeriod the same while NeedsMember reports true.
	seedPeriod      = 10 * time.Second
	eagerSeedPeriod = 150 * time.Millisecond
)

// Prober probes the members in random order.
type Prober struct {
	board     *blackboard.Board
	table     *Table
	gossipNow chan struct{}

	// Ping probes an address and returns the reply.
	Ping func(ctx context.Context, address netip.AddrPort, g Gossip) (Gossip, error)
	// PingVia makes a helper probe the target. It returns an error if the helper
	// got no reply.
	PingVia func(ctx context.Context, helper, target netip.AddrPort) error
	// Seeds returns the addresses at which instances are expected.
	Seeds func(ctx context.Context) []netip.AddrPort
	// OnNewerVersion is called when the member at this address announces a
	// version that is newer than this instance's own.
	OnNewerVersion func(ctx context.Context, address netip.AddrPort, version blackboard.Version)
	// OnSameVersion is called when a member has the same version as this
	// instance; age is how long ago that version was last known to be the
	// newest.
	OnSameVersion func(age time.Duration)
	// OnStoreReturn is called when a member tells of a return of the store from an older copy.
	OnStoreReturn func(r StoreReturn)
	// NeedsMember reports whether this instance needs to contact a member urgently.
	NeedsMember func() bool
}

// NewProber returns a prober. Set its fields before Run.
func NewProber(board *blackboard.Board, table *Table) *Prober {
	return &Prober{
		board: board, table: table, gossipNow: make(chan struct{}, 1), OnSameVersion: func(time.Duration) {},
		OnStoreReturn: func(StoreReturn) {}, NeedsMember: func() bool { return false },
	}
}

// GossipNow makes the prober send gossip to a few members at once, so that a new
// configuration spreads without waiting for the next probe.
func (p *Prober) GossipNow() {
	select {
	case p.gossipNow <- struct{}{}:
	default:
	}
}

// Run sends probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	seedTimer := time.NewTimer(0)
	defer seedTimer.Stop()
	var targets []blackboard.Member
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.table.ExpireMembers()
			if len(targets) == 0 {
				targets = p.probeTargets()
			}
			if len(targets) > 0 {
				go p.probe(ctx, targets[0])
				targets = targets[1:]
			}
		case <-p.gossipNow:
			for _, m := range lo.Slice(p.probeTargets(), 0, maxImmediateTargets) {
				go p.ping(ctx, m.Address)
			}
		case <-seedTimer.C:
			go p.probeMissingSeeds(ctx)
			seedTimer.Reset(seedPeriod)
			if p.NeedsMember() {
				seedTimer.Reset(eagerSeedPeriod)
			}
		}
	}
}

// probeTargets returns the members to probe, in random order. It includes dead
// ones, so that the two sides of a partition find each other once it heals.
func (p *Prober) probeTargets() []blackboard.Member {
	members := p.board.Members.Load()
	targets := lo.Filter(members.List, func(m blackboard.Member, _ int) bool {
		return m.Name != members.Self && m.State != blackboard.Leaving
	})
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets
}

// probeMissingSeeds probes the seed addresses at which no member is alive.
func (p *Prober) probeMissingSeeds(ctx context.Context) {
	alive := make(map[netip.AddrPort]bool)
	for _, m := range p.board.Members.Load().List {
		if m.State == blackboard.Alive {
			alive[m.Address] = true
		}
	}
	seeds := p.Seeds(ctx)
	p.table.SetSeeds(seeds)
	for _, address := range seeds {
		if !alive[address] {
			go p.ping(ctx, address)
		}
	}
}

// probe probes a member directly, then through helpers, and marks it as suspected
// if there is no reply.
func (p *Prober) probe(ctx context.Context, m blackboard.Member) {
	if p.ping(ctx, m.Address) == nil {
		return
	}
	for _, h := range lo.Slice(p.probeTargets(), 0, maxProbeHelpers) {
		if h.Name == m.Name {
			continue
		}
		helperCtx, cancel := context.WithTimeout(ctx, indirectTimeout)
		err := p.PingVia(helperCtx, h.Address, m.Address)
		cancel()
		if err == nil {
			return
		}
	}
	if ctx.Err() == nil {
		p.table.MarkSuspected(m.Name)
	}
}

func (p *Prober) ping(ctx context.Context, address netip.AddrPort) error {
	pingCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := p.Ping(pingCtx, address, p.table.NextGossip())
	if err != nil {
		return err
	}
	p.HandleGossip(ctx, reply)
	return nil
}

// HandleGossip merges a received message, and calls OnNewerVersion or
// OnSameVersion according to the sender's version.
func (p *Prober) HandleGossip(ctx context.Context, g Gossip) {
	p.table.Receive(g)
	if p.table.IsBehind(g) {
		p.GossipNow()
	}
	own, theirs := p.table.Version(), g.Version()
	if g.Return != nil && theirs.Era >= own.Era {
		p.OnStoreReturn(*g.Return)
	}
	switch theirs.Compare(own) {
	case 1:
		go p.OnNewerVersion(ctx, g.From.Address, theirs)
	case 0:
		p.OnSameVersion(g.Age)
	}
}
