package main

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sys/unix"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/peer"
	"lentilward.org/lentilward/quota"
	"lentilward.org/lentilward/web"
	"lentilward.org/schema/domain"
)

const (
	// lostMemberPeriod is how long an instance that was lost counts among those that share
	// the allowances. A home lends only the part of those that are alive, since the lost
	// ones may be cut off and serve. Members forget each other after a minute.
	lostMemberPeriod = 10 * time.Minute
	// maxRefundAge is the age of a request up to which its token is given back if nothing
	// was sent.
	maxRefundAge = 500 * time.Millisecond
	// maxClockGap is the most time between the readings of two clocks that are compared.
	maxClockGap = 10 * time.Millisecond
	// quotaLogInterval is the shortest time between two log lines about homes that do not
	// reply.
	quotaLogInterval = time.Second
)

// allowances keeps the tenants of this instance within their allowances together with the
// other instances.
type allowances struct {
	gateway *Gateway
	home    *quota.Home
	local   *quota.Local
	homes   *quota.Homes[netip.AddrPort]
	self    netip.AddrPort
	// joined is set once this instance knows that the others have not just started too.
	joined atomic.Bool

	mu sync.Mutex
	// lastSeen is when an instance was last listed as a member that has not left.
	lastSeen map[netip.AddrPort]time.Time
	loggedAt time.Time
}

// connectAllowances connects the components that keep the allowances of tenants.
func (g *Gateway) connectAllowances() {
	s := g.options.Load().quotaSettings()
	a := &allowances{
		gateway: g, home: quota.NewHome(s), local: quota.NewLocal(s), self: g.options.Load().Listen.Peers,
		lastSeen: make(map[netip.AddrPort]time.Time),
	}
	a.home.Suspended = suspendedTime
	a.home.OnFrozen = func(tenants int) {
		g.log.Warn("the process did not run for a while; allowances begin with a small start", "tenants", tenants)
	}
	a.homes = quota.NewHomes(a.self)
	a.homes.Candidates = a.candidates
	a.homes.Seeds = a.seeds
	a.homes.Send = a.send
	a.homes.OnMoved = func() { a.joined.Store(true) }
	a.local.Ask = a.homes.Ask
	a.local.Instances = a.instances
	a.local.OnFallback = a.logFallback
	g.allowances = a
	g.peers.LendQuota = a.lend
	g.peers.QuotaHomes = func(tenants []string) []netip.AddrPort {
		return lo.Map(tenants, func(tenant string, _ int) netip.AddrPort {
			home, _ := a.homes.Of(tenant)
			return home
		})
	}
	g.callers.Allow = a.allow
	g.engine.TenantUse = a.local.Use
}

// quotaSettings returns the settings of the allowances.
func (o *Options) quotaSettings() quota.Settings {
	if o.Quota.Window <= 0 {
		return quota.Settings{Window: defaultQuotaWindow, Overage: defaultQuotaOverage, Slack: defaultQuotaSlack}
	}
	return quota.Settings{Window: time.Duration(o.Quota.Window), Overage: o.Quota.Overage, Slack: o.Quota.Slack}
}

func (a *allowances) setSettings(s quota.Settings) {
	a.home.SetSettings(s)
	a.local.SetSettings(s)
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

// allow reports whether a tenant may send a request now.
func (a *allowances) allow(ctx context.Context, tenant *domain.Tenant) (retryAfter time.Duration, ok bool) {
	limit := quota.Limit{Rate: tenant.RatePerSecond, Burst: tenant.Burst}
	if snapshot := a.gateway.directory.Current.Load(); snapshot != nil {
		limit.Version = snapshot.Configuration.Version
	}
	retryAfter, ok = a.local.Allow(ctx, tenant.Name, limit)
	a.gateway.metrics.RecordTenantAsked(tenant.Name)
	if !ok && ctx.Err() == nil {
		a.gateway.metrics.RecordTenantResult(tenant.Name, domain.QuotaExceeded.String())
	}
	return retryAfter, ok
}

// recordResult counts the result of a request that was allowed, and gives its token back
// if nothing was sent.
func (a *allowances) recordResult(r web.RequestResult) {
	if r.Tenant == nil {
		return
	}
	result := "served"
	if r.Refusal != nil {
		result = r.Refusal.Reason.String()
		if r.Refusal.Outcome == domain.NotRun && r.Stats.Calls == 0 && r.Duration < maxRefundAge {
			a.local.Refund(r.Tenant.Name)
		}
	}
	a.gateway.metrics.RecordTenantResult(r.Tenant.Name, result)
}

// isStarting reports whether this instance may have been started together with all others.
// The homes are then the seeds in the settings, which all of them know.
func (a *allowances) isStarting() bool {
	return time.Since(a.gateway.fleet.started) < discoveryPeriod && !a.joined.Load() && len(a.gateway.options.Load().Peers) > 0
}

func (a *allowances) candidates() []quota.Candidate[netip.AddrPort] {
	if a.isStarting() {
		return a.seeds()
	}
	var candidates []quota.Candidate[netip.AddrPort]
	members := a.gateway.board.Members.Load()
	for _, m := range members.List {
		if m.Name == members.Self || m.State == blackboard.Alive || m.State == blackboard.Suspected {
			candidates = append(candidates, quota.Candidate[netip.AddrPort]{Peer: m.Address, Name: m.Name})
		}
	}
	return candidates
}

// seeds returns the instances that are asked first in the time in which this one discovers
// its peers. A home that it found among few members would be its own.
func (a *allowances) seeds() []quota.Candidate[netip.AddrPort] {
	if time.Since(a.gateway.fleet.started) >= discoveryPeriod {
		return nil
	}
	return lo.Map(a.gateway.options.Load().Peers, func(address netip.AddrPort, _ int) quota.Candidate[netip.AddrPort] {
		return quota.Candidate[netip.AddrPort]{Peer: address, Name: address.String()}
	})
}

// send asks an instance for tokens.
func (a *allowances) send(ctx context.Context, to netip.AddrPort, ask quota.Ask, final bool) (peer.QuotaReply, error) {
	if to == a.self {
		return a.lend(ask, final), nil
	}
	return a.gateway.links.AskQuota(ctx, to, ask, final)
}

// lend answers an instance that asks for tokens.
func (a *allowances) lend(ask quota.Ask, final bool) peer.QuotaReply {
	if !slices.Contains(a.gateway.options.Load().Peers, a.self) {
		// Instances that have just started ask only seeds.
		a.joined.Store(true)
	}
	home, ok := a.homes.Of(ask.Tenant)
	isHome := ok && home == a.self
	if ok && !isHome && !final {
		return peer.QuotaReply{Moved: true, Home: home}
	}
	reply := peer.QuotaReply{Grant: a.home.Lend(ask, a.view(isHome), time.Now())}
	a.gateway.metrics.RecordTenantLent(ask.Tenant, reply.Granted)
	return reply
}

// view returns what this instance knows of the others.
func (a *allowances) view(isHome bool) quota.View {
	members := a.gateway.board.Members.Load()
	v := quota.View{IsHome: isHome, Since: members.LastChange}
	alive := 0
	for _, m := range members.List {
		if m.Name == members.Self || m.State == blackboard.Alive {
			alive++
		}
		if m.Since.After(v.Since) {
			v.Since = m.Since
		}
	}
	known := float64(max(alive, a.known()))
	v.Part, v.Alone = float64(alive)/known, 1/known
	return v
}

// known returns the number of instances that may serve: those seen in the last
// lostMemberPeriod, this one included, or the seeds if these are more.
func (a *allowances) known() int {
	// The settings and the store often list the same instances.
	seeds := len(lo.Uniq(a.gateway.seedAddresses())) + 1
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(1, len(a.lastSeen), seeds)
}

// instances returns the number of instances that share the allowances; 0 while it is not
// known.
func (a *allowances) instances() int {
	if a.isStarting() {
		return 0
	}
	return a.known()
}

// run maintains the allowances until the context ends.
func (a *allowances) run(ctx context.Context) {
	tick := time.NewTicker(quota.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := time.Now()
			if a.hasLimits() {
				a.recordMembers(now)
			}
			a.home.Tick(func(tenant string) bool { return a.homes.IsHome(a.self, tenant) }, now)
			a.local.Tick(now)
			if len(a.home.Short(now)) > 0 {
				go quota.Sample(ctx, a.home, a.self, a.peers(), a.gateway.links.QuotaHomes)
			}
		}
	}
}

// hasLimits reports whether any tenant has an allowance.
func (a *allowances) hasLimits() bool {
	snapshot := a.gateway.directory.Current.Load()
	if snapshot == nil {
		return false
	}
	for _, t := range snapshot.Configuration.Tenants {
		if t.RatePerSecond > 0 {
			return true
		}
	}
	return false
}

// recordMembers records which instances are members. Those that have left do not serve any
// more, those that were lost may.
func (a *allowances) recordMembers(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastSeen[a.self] = now
	for _, m := range a.gateway.board.Members.Load().List {
		switch m.State {
		case blackboard.Leaving:
			delete(a.lastSeen, m.Address)
		case blackboard.Dead:
			// Counts from when it was last alive.
			if _, seen := a.lastSeen[m.Address]; !seen {
				a.lastSeen[m.Address] = now
			}
		default:
			a.lastSeen[m.Address] = now
		}
	}
	for address, seenAt := range a.lastSeen {
		if now.Sub(seenAt) >= lostMemberPeriod {
			delete(a.lastSeen, address)
		}
	}
}

// peers returns the other instances, those lost recently included.
func (a *allowances) peers() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	peers := make([]netip.AddrPort, 0, len(a.lastSeen))
	for address := range a.lastSeen {
		if address != a.self {
			peers = append(peers, address)
		}
	}
	return peers
}

// logFallback logs that the home of a tenant stops or begins to reply, at most once in a
// quotaLogInterval.
func (a *allowances) logFallback(tenant string, lost bool, err error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.loggedAt) < quotaLogInterval {
		return
	}
	a.loggedAt = now
	if lost {
		a.gateway.log.Warn("no home of a tenant replies; this instance uses its own share of the allowance", "tenant", tenant, "error", err)
		return
	}
	a.gateway.log.Info("the home of a tenant replies again", "tenant", tenant)
}

// status returns what this instance knows of the tenants with an allowance.
func (a *allowances) status() []monitor.TenantStatus {
	snapshot := a.gateway.directory.Current.Load()
	if snapshot == nil {
		return nil
	}
	var tenants []monitor.TenantStatus
	counts, lent := a.local.Counts(), a.home.Lent()
	for name, t := range snapshot.Configuration.Tenants {
		c := counts[name]
		s := monitor.TenantStatus{
			Name: name, Rate: t.RatePerSecond, Burst: t.Burst, Asked: c.Asked, Allowed: c.Allowed, Refused: c.Refused, Fallback: c.Fallback,
			Lent: lent[name], Use: a.local.Use(name),
		}
		if home, ok := a.homes.Of(name); ok {
			s.Home = home.String()
		}
		tenants = append(tenants, s)
	}
	slices.SortFunc(tenants, func(x, y monitor.TenantStatus) int { return cmp.Compare(x.Name, y.Name) })
	return tenants
}
