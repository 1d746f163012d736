package main

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sys/unix"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/peer"
	"lentilward.org/lentilward/quota"
)

const (
	// confirmTimeout bounds the question of a starting instance whether it is the home.
	confirmTimeout = 100 * time.Millisecond
	// maxClockGap is the most time between the readings of two clocks that are compared.
	maxClockGap = 10 * time.Millisecond
	// lendingLogInterval is the shortest time between two log lines about homes that do not
	// reply.
	lendingLogInterval = time.Second
)

// lending keeps the use of subjects of one kind within their limits together with the other
// instances: the home of a subject lends tokens to all.
type lending struct {
	gateway *Gateway
	home    *quota.Home
	local   *quota.Local
	homes   *quota.Homes[netip.AddrPort]
	self    netip.AddrPort
	// subjects names the kind of subjects in logs.
	subjects string
	// lostPeriod is how long an instance that was lost counts among those that share a limit.
	// A home lends only the part of those that are alive, since the lost ones may be cut off
	// and serve.
	lostPeriod time.Duration
	// ask sends a question to a peer, and askHomes asks a peer which instances it considers
	// the homes of keys.
	ask      func(ctx context.Context, to netip.AddrPort, a quota.Ask, final bool) (peer.QuotaReply, error)
	askHomes func(ctx context.Context, to netip.AddrPort, keys []string) ([]netip.AddrPort, error)
	// onLent is called with the tokens that this instance has lent as the home.
	onLent func(subject string, tokens int)
	// isUsed reports whether any subject has a limit.
	isUsed func() bool
	// joined is set once this instance knows that the others have not just started too.
	joined atomic.Bool

	mu sync.Mutex
	// lastSeen is when an instance was last listed as a member that has not left.
	lastSeen map[netip.AddrPort]time.Time
	loggedAt time.Time
}

// newLending returns a lending whose function fields ask, askHomes and isUsed must be set.
func newLending(g *Gateway, s quota.Settings, subjects string, lostPeriod time.Duration) *lending {
	l := &lending{
		gateway: g, home: quota.NewHome(s), local: quota.NewLocal(s), self: g.options.Load().Listen.Peers,
		subjects: subjects, lostPeriod: lostPeriod, onLent: func(string, int) {}, lastSeen: make(map[netip.AddrPort]time.Time),
	}
	l.home.Suspended = suspendedTime
	l.home.OnFrozen = func(lenders int) {
		g.log.Warn("the process did not run for a while; limits begin with a small start", "of", subjects, "lenders", lenders)
	}
	l.homes = quota.NewHomes(l.self)
	l.homes.Candidates = l.candidates
	l.homes.Seeds = l.seeds
	l.homes.Send = l.send
	l.homes.OnMoved = func() { l.joined.Store(true) }
	l.local.Ask = l.homes.Ask
	l.local.Instances = l.instances
	l.local.OnFallback = l.logFallback
	return l
}

func (l *lending) setSettings(s quota.Settings) {
	l.home.SetSettings(s)
	l.local.SetSettings(s)
}

// suspendedTime returns for how long the machine was suspended since it was started; 0 if
// that can't be read. The clocks are read again if the process was interrupted in between,
// which would count as a suspension.
func suspendedTime() time.Duration {
	var before, boot, after unix.Timespec
	for {
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0
		}
		if time.Duration(after.Nano()-before.Nano()) < maxClockGap {
			return time.Duration(boot.Nano() - before.Nano())
		}
	}
}

// isStarting reports whether this instance may have been started together with all others.
// The homes are then the seeds in the settings, which all of them know.
func (l *lending) isStarting() bool {
	return time.Since(l.gateway.fleet.started) < discoveryPeriod && !l.joined.Load() && len(l.gateway.options.Load().Peers) > 0
}

// isLeaving reports whether this instance stops: the others have another home by then.
func (l *lending) isLeaving() bool {
	members := l.gateway.board.Members.Load()
	self, found := members.Find(members.Self)
	return found && self.State == blackboard.Leaving
}

func (l *lending) candidates() []quota.Candidate[netip.AddrPort] {
	if l.isStarting() {
		return l.seedCandidates()
	}
	var candidates []quota.Candidate[netip.AddrPort]
	members := l.gateway.board.Members.Load()
	for _, m := range members.List {
		if m.State == blackboard.Alive || m.State == blackboard.Suspected || m.Name == members.Self && m.State != blackboard.Leaving {
			candidates = append(candidates, quota.Candidate[netip.AddrPort]{Peer: m.Address, Name: m.Name})
		}
	}
	return candidates
}

// seeds returns the instances that are asked first in the time in which this one discovers
// its peers. A home that it found among few members would be its own.
func (l *lending) seeds() []quota.Candidate[netip.AddrPort] {
	if time.Since(l.gateway.fleet.started) >= discoveryPeriod || l.isLeaving() {
		return nil
	}
	return l.seedCandidates()
}

func (l *lending) seedCandidates() []quota.Candidate[netip.AddrPort] {
	return lo.Map(l.gateway.options.Load().Peers, func(address netip.AddrPort, _ int) quota.Candidate[netip.AddrPort] {
		return quota.Candidate[netip.AddrPort]{Peer: address, Name: address.String()}
	})
}

// send asks an instance for tokens.
func (l *lending) send(ctx context.Context, to netip.AddrPort, ask quota.Ask, final bool) (peer.QuotaReply, error) {
	if to != l.self {
		return l.ask(ctx, to, ask, final)
	}
	if home, ok := l.findHome(ctx, ask.Subject); ok && home != l.self {
		return peer.QuotaReply{Moved: true, Home: home}, nil
	}
	return l.lend(ask, final), nil
}

// findHome returns the home that another seed knows, if this instance is a seed that has
// just started and would lend to itself: the others may have been running all the while.
// ok is false if this does not apply, or no other seed replies.
func (l *lending) findHome(ctx context.Context, subject string) (home netip.AddrPort, ok bool) {
	if !l.isStarting() {
		return home, false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	others := lo.Without(l.gateway.options.Load().Peers, l.self)
	replies := make(chan netip.AddrPort, len(others))
	for _, seed := range others {
		go func() {
			homes, err := l.askHomes(ctx, seed, []string{l.homes.Key(subject)})
			if err != nil || len(homes) != 1 {
				homes = []netip.AddrPort{{}}
			}
			replies <- homes[0]
		}()
	}
	for range others {
		if home = <-replies; home.IsValid() {
			return home, true
		}
	}
	return home, false
}

// lend answers an instance that asks for tokens.
func (l *lending) lend(ask quota.Ask, final bool) peer.QuotaReply {
	if !slices.Contains(l.gateway.options.Load().Peers, l.self) {
		// Instances that have just started ask only seeds.
		l.joined.Store(true)
	}
	home, ok := l.homes.Of(ask.Subject)
	isHome := ok && home == l.self
	if ok && !isHome && (!final || l.isLeaving()) {
		return peer.QuotaReply{Moved: true, Home: home}
	}
	reply := peer.QuotaReply{Grant: l.home.Lend(ask, l.view(isHome), time.Now())}
	l.onLent(ask.Subject, reply.Granted)
	return reply
}

// homesOf returns the homes of subjects with these keys as this instance sees them.
func (l *lending) homesOf(keys []string) []netip.AddrPort {
	return lo.Map(keys, func(key string, _ int) netip.AddrPort {
		home, _ := l.homes.OfKey(key)
		return home
	})
}

// view returns what this instance knows of the others.
func (l *lending) view(isHome bool) quota.View {
	members := l.gateway.board.Members.Load()
	v := quota.View{IsHome: isHome, Since: members.LastChange}
	for _, m := range members.List {
		if m.Since.After(v.Since) {
			v.Since = m.Since
		}
	}
	known := float64(l.known())
	v.Part, v.Alone = float64(l.alive())/known, 1/known
	return v
}

// alive returns the number of instances that are alive, this one included.
func (l *lending) alive() int {
	members := l.gateway.board.Members.Load()
	return lo.CountBy(members.List, func(m blackboard.Member) bool { return m.Name == members.Self || m.State == blackboard.Alive })
}

// known returns the number of instances that may serve: those seen in the last lostPeriod,
// this one included, or the seeds if these are more and may not have been seen yet.
func (l *lending) known() int {
	seeds, alive := 0, l.alive()
	if time.Since(l.gateway.fleet.started) < l.lostPeriod {
		// The settings and the store often list the same instances.
		seeds = len(lo.Uniq(l.gateway.seedAddresses())) + 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(1, len(l.lastSeen), seeds, alive)
}

// instances returns the number of instances that share the limits; 0 while it is not known.
func (l *lending) instances() int {
	if l.isStarting() {
		return 0
	}
	return l.known()
}

// run maintains the lending until the context ends.
func (l *lending) run(ctx context.Context) {
	tick := time.NewTicker(quota.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := time.Now()
			if l.isUsed() {
				l.recordMembers(now)
			}
			l.home.Tick(func(subject string) bool { return l.homes.IsHome(l.self, subject) }, now)
			l.local.Tick(now)
			if len(l.home.Short(now)) > 0 {
				go quota.Sample(ctx, l.home, l.self, l.peers(), l.askHomes)
			}
		}
	}
}

// recordMembers records which instances are members. Those that have left do not serve any
// more, those that were lost may.
func (l *lending) recordMembers(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSeen[l.self] = now
	for _, m := range l.gateway.board.Members.Load().List {
		switch m.State {
		case blackboard.Leaving:
			delete(l.lastSeen, m.Address)
		case blackboard.Dead:
			// Counts from when it was last alive.
			if _, seen := l.lastSeen[m.Address]; !seen {
				l.lastSeen[m.Address] = m.Since
			}
		default:
			l.lastSeen[m.Address] = now
		}
	}
	for address, seenAt := range l.lastSeen {
		if now.Sub(seenAt) >= l.lostPeriod {
			delete(l.lastSeen, address)
		}
	}
}

// peers returns the other instances, those lost recently included.
func (l *lending) peers() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := make([]netip.AddrPort, 0, len(l.lastSeen))
	for address := range l.lastSeen {
		if address != l.self {
			peers = append(peers, address)
		}
	}
	return peers
}

// logFallback logs that the home of a subject stops or begins to reply, at most once in a
// lendingLogInterval.
func (l *lending) logFallback(subject string, lost bool, err error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) < lendingLogInterval {
		return
	}
	l.loggedAt = now
	if lost {
		l.gateway.log.Warn("no home replies; this instance uses its own share of the limit", "of", l.subjects, "subject", subject, "error", err)
		return
	}
	l.gateway.log.Info("the home replies again", "of", l.subjects, "subject", subject)
}
