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
	// probePeriod is the time between two probes of one instance, whatever the
	// number of members.
	probePeriod = 500 * time.Millisecond
	// probeTimeout bounds a probe, and indirectTimeout one through others.
	probeTimeout    = 300 * time.Millisecond
	indirectTimeout = 600 * time.Millisecond
	// helpers is the number of members that probe on behalf of another.
	helpers = 2
	// nudged is the number of members told at once of a new configuration.
	nudged = 3
	// seedPeriod is the time between two looks at the list of instances, and
	// eagerPeriod that while this instance needs a member.
	seedPeriod  = 10 * time.Second
	eagerPeriod = 150 * time.Millisecond
)

// Prober probes members in random order.
type Prober struct {
	board *blackboard.Board
	table *Table
	nudge chan struct{}

	// Ping probes an address and returns the answer.
	Ping func(ctx context.Context, address netip.AddrPort, g Gossip) (Gossip, error)
	// PingVia lets a helper probe the target.
	PingVia func(ctx context.Context, helper, target netip.AddrPort) error
	// Seeds lists addresses where members may be.
	Seeds func(ctx context.Context) []netip.AddrPort
	// Newer is called when a member has a newer configuration.
	Newer func(ctx context.Context, address netip.AddrPort)
	// Current is called when a member has none that is newer, and how long ago
	// it was known to be the newest.
	Current func(age time.Duration)
	// Eager tells whether this instance cannot do without a member.
	Eager func() bool
}

// NewProber returns a prober; Run starts it once its fields are set.
func NewProber(board *blackboard.Board, table *Table) *Prober {
	return &Prober{board: board, table: table, nudge: make(chan struct{}, 1), Current: func(time.Duration) {}, Eager: func() bool { return false }}
}

// Nudge makes the prober tell a few members of a new configuration at once.
func (p *Prober) Nudge() {
	select {
	case p.nudge <- struct{}{}:
	default:
	}
}

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	tick := time.NewTicker(probePeriod)
	defer tick.Stop()
	seed := time.NewTimer(0)
	defer seed.Stop()
	var order []blackboard.Member
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.table.Expire()
			if len(order) == 0 {
				order = p.others()
			}
			if len(order) > 0 {
				go p.probe(ctx, order[0])
				order = order[1:]
			}
		case <-p.nudge:
			for _, m := range lo.Slice(p.others(), 0, nudged) {
				go p.ping(ctx, m.Address)
			}
		case <-seed.C:
			go p.contactSeeds(ctx)
			seed.Reset(seedPeriod)
			if p.Eager() {
				seed.Reset(eagerPeriod)
			}
		}
	}
}

// others returns the members to probe in random order. Dead ones stay among
// them, so that the two sides of a healed partition find each other.
func (p *Prober) others() []blackboard.Member {
	members := p.board.Members.Load()
	others := lo.Filter(members.List, func(m blackboard.Member, _ int) bool {
		return m.Name != members.Self && m.State != blackboard.Leaving
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// contactSeeds probes the addresses at which no member is known.
func (p *Prober) contactSeeds(ctx context.Context) {
	known := make(map[netip.AddrPort]bool)
	for _, m := range p.board.Members.Load().List {
		if m.State == blackboard.Alive {
			known[m.Address] = true
		}
	}
	seeds := p.Seeds(ctx)
	p.table.SetSeeds(seeds)
	for _, address := range seeds {
		if !known[address] {
			go p.ping(ctx, address)
		}
	}
}

// probe asks a member, then lets helpers ask it, and suspects it if neither
// gets an answer.
func (p *Prober) probe(ctx context.Context, m blackboard.Member) {
	if p.ping(ctx, m.Address) == nil {
		return
	}
	for _, h := range lo.Slice(p.others(), 0, helpers) {
		if h.Name == m.Name {
			continue
		}
		call, cancel := context.WithTimeout(ctx, indirectTimeout)
		err := p.PingVia(call, h.Address, m.Address)
		cancel()
		if err == nil {
			return
		}
	}
	if ctx.Err() == nil {
		p.table.Suspect(m.Name)
	}
}

func (p *Prober) ping(ctx context.Context, address netip.AddrPort) error {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := p.Ping(call, address, p.table.Gossip())
	if err != nil {
		return err
	}
	p.Heard(ctx, answer)
	return nil
}

// Heard takes in gossip that arrived and asks for a newer configuration.
func (p *Prober) Heard(ctx context.Context, g Gossip) {
	p.table.Receive(g)
	switch own := p.table.Revision(); {
	case g.From.Revision > own:
		go p.Newer(ctx, g.From.Address)
	case g.From.Revision == own:
		p.Current(g.Age)
	}
}
