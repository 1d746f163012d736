package local

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/rollout"
)

const (
	// slowFactor is the multiple of the old version's median reply time from which on a
	// reply is slow. Servers in a cold start take 1.6 times as long.
	slowFactor = 2.5
	// minSlow is the reply time below which no reply is slow: so short times vary much.
	minSlow = 4 * time.Millisecond
	// recentReplies and recentPeriod bound the replies of the old version from which its
	// median is taken, and minRecent is how many there must be at least.
	recentReplies = 32
	recentPeriod  = 3 * time.Second
	minRecent     = 5
	// maxReported bounds the reply times in a report.
	maxReported = 8
	// askInterval is the shortest time between two requests for permits.
	askInterval = 100 * time.Millisecond
	// seldomPeriod is the time within which two first calls must have come for permits to
	// be asked for ahead.
	seldomPeriod = 1500 * time.Millisecond
	// maxWanted bounds the permits that an instance asks for at once.
	maxWanted = 8
	// maxRoutes bounds the routes that are told apart; others count as one.
	maxRoutes   = 64
	otherRoutes = "(others)"
)

// permits is what this instance has and has seen of one order. Service.mu guards it.
type permits struct {
	// expiries has the end of each permit that is held, in the order of expiry.
	expiries []time.Duration
	used     int
	requests int
	routes   map[string]*routeState
	// demand counts the first calls since the last report that could have used a permit.
	demand int
	// lastCall and callBefore are the times of the last two first calls.
	lastCall, callBefore time.Duration
	sequence             uint64
	// asking is set while a report is on its way. Until nextAskAt no permits are asked for.
	asking                bool
	askedAt, nextAskAt    time.Duration
	heldSent              int
	hasNews, hasOldCounts bool
	lacking               []string
}

// routeState counts the replies on one route.
type routeState struct {
	count rollout.RouteCount
	// recent has the last replies of the old version.
	recent []recentReply
	// fleetMedian is the old version's median over all instances, and lastMedian the last
	// one that this instance knew itself.
	fleetMedian, lastMedian time.Duration
}

type recentReply struct {
	elapsed time.Duration
	at      time.Time
}

// route returns the state of a route.
func (p *permits) route(name string) *routeState {
	if p.routes == nil {
		p.routes = make(map[string]*routeState)
	}
	r := p.routes[name]
	if r == nil && len(p.routes) >= maxRoutes {
		name = otherRoutes
		r = p.routes[name]
	}
	if r == nil {
		r = &routeState{}
		p.routes[name] = r
	}
	return r
}

// expire drops the permits that have expired.
func (p *permits) expire(now time.Duration) {
	for len(p.expiries) > 0 && p.expiries[0] <= now {
		p.expiries = p.expiries[1:]
	}
}

// isSeldom reports whether the service gets so few first calls that a permit would expire
// before the next one.
func (p *permits) isSeldom(now time.Duration) bool {
	return p.callBefore == 0 || now-p.callBefore > seldomPeriod
}

// askPermit asks for a permit for a first call if the service gets so few that permits
// are not asked for ahead.
func (s *Service) askPermit(time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, clock := &s.permits, s.local.Now()
	p.expire(clock)
	if s.phase() != rollout.Running || len(p.expiries) > 0 || p.asking || clock < p.nextAskAt || !p.isSeldom(clock) {
		return false
	}
	if p.sequence > 0 && clock < p.askedAt+askInterval {
		return false
	}
	p.demand = 1
	s.local.OnAsk()
	return true
}

// takePermit uses a permit for a first call on a route, if there is one.
func (s *Service) takePermit(route string, _ time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, clock := &s.permits, s.local.Now()
	p.demand++
	if p.isSeldom(clock) {
		p.demand = 0
	}
	p.callBefore, p.lastCall = p.lastCall, clock
	p.expire(clock)
	if s.phase() != rollout.Running || len(p.expiries) == 0 {
		return false
	}
	// Where some routes lack replies, half of the calls of others leave the last permit to
	// them. An instance that rarely holds a permit must not let all expire.
	if len(p.lacking) > 0 && len(p.expiries) == 1 && !slices.Contains(p.lacking, route) && rand.IntN(2) == 0 {
		return false
	}
	p.expiries = p.expiries[1:]
	p.used++
	p.hasNews = true
	return true
}

// recordResult counts the result of a call.
func (s *Service) recordResult(r balance.VersionResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, now := &s.permits, time.Now()
	if !r.Extra {
		p.requests++
	}
	route := p.route(r.Route)
	isNew := r.Version == s.order.Target && r.Version != s.present
	count := &route.count.Old
	if isNew {
		count = &route.count.New
		p.hasNews = true
	} else {
		p.hasOldCounts = true
	}
	median := route.median(now)
	slow := median > 0 && r.Elapsed >= max(minSlow, time.Duration(slowFactor*float64(median)))
	switch r.Outcome {
	case balance.Refused:
		return
	case balance.Failed:
		count.Replies++
		count.Failures++
		return
	case balance.Abandoned:
		if !slow {
			return
		}
	}
	count.Replies++
	if slow {
		count.Slow++
	}
	if !isNew && r.Outcome == balance.Replied {
		route.recent = append(route.recent, recentReply{r.Elapsed, now})
		if len(route.recent) > recentReplies {
			route.recent = route.recent[1:]
		}
		if len(route.count.Recent) < maxReported {
			route.count.Recent = append(route.count.Recent, r.Elapsed)
		}
	}
}

// median returns the old version's median reply time: of this instance's recent calls, or
// else of all instances, or else the last one known.
func (r *routeState) median(now time.Time) time.Duration {
	for len(r.recent) > 0 && now.Sub(r.recent[0].at) > recentPeriod {
		r.recent = r.recent[1:]
	}
	if len(r.recent) >= minRecent {
		times := make([]time.Duration, 0, recentReplies)
		for _, reply := range r.recent {
			times = append(times, reply.elapsed)
		}
		slices.Sort(times)
		r.lastMedian = times[len(times)/2]
		return r.lastMedian
	}
	if r.fleetMedian > 0 {
		return r.fleetMedian
	}
	return r.lastMedian
}

// NextReport returns the report that is due, if any. The caller sends it to the controller
// and passes the reply to HandleReply; it must discard a reply that comes later.
func (s *Service) NextReport(instance string, incarnation uint64, now time.Time) (rollout.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, phase, clock := &s.permits, s.phase(), s.local.Now()
	if phase < rollout.Running || phase >= rollout.Completed || p.asking || clock < p.askedAt+askInterval && p.sequence > 0 {
		return rollout.Report{}, false
	}
	p.expire(clock)
	mayAsk := clock >= p.nextAskAt
	asks := phase == rollout.Running && mayAsk && p.demand > len(p.expiries)
	expired := len(p.expiries) < p.heldSent && mayAsk
	if !asks && !p.hasNews && !expired && !(p.hasOldCounts && mayAsk && phase != rollout.Running) {
		return rollout.Report{}, false
	}
	r := rollout.Report{
		Service: s.name, Order: s.order.Revision, Era: s.order.Era, Instance: instance, Incarnation: incarnation,
		Used: p.used, Held: len(p.expiries), Requests: p.requests, Phase: phase, Routes: make(map[string]rollout.RouteCount),
	}
	if phase == rollout.Running && mayAsk {
		r.Wanted = min(maxWanted, max(0, p.demand-len(p.expiries)))
	}
	for name, route := range p.routes {
		r.Routes[name] = route.count
		route.count.Recent = nil
	}
	p.sequence++
	r.Sequence = p.sequence
	p.asking, p.askedAt, p.heldSent = true, clock, len(p.expiries)
	p.demand, p.hasNews, p.hasOldCounts = 0, false, false
	return r, true
}

// HandleReply takes over the controller's reply to a report, or its failure. A report that
// failed is sent again with the next one, since its counts are cumulative.
func (s *Service) HandleReply(sent rollout.Report, reply rollout.Reply, err error, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.permits
	if !s.order.Is(sent.Order, sent.Era) || sent.Sequence != p.sequence {
		return
	}
	p.asking = false
	if err != nil {
		p.hasNews, p.nextAskAt = true, s.local.Now()+2*askInterval
		return
	}
	s.heardAt = s.local.Now()
	p.lacking = reply.Lacking
	for name, median := range reply.Medians {
		p.route(name).fleetMedian = median
	}
	for range reply.Granted {
		p.expiries = append(p.expiries, p.askedAt+min(rollout.PermitTTL, s.local.part(ttlShare)))
	}
	p.heldSent = len(p.expiries)
	p.nextAskAt = s.local.Now() + reply.Wait
	if reply.Phase > s.notice.Phase {
		s.local.log.Info("news of a rollout", "service", s.name, "order", s.order.Revision, "phase", reply.Phase.String())
		s.notice = rollout.Notice{Service: s.name, Order: s.order.Revision, Era: s.order.Era, Phase: reply.Phase}
		s.apply(now)
	}
}

// State returns the state of the service's rollout.
func (s *Service) State() rollout.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := rollout.State{
		Service: s.name, Phase: s.phase(), Order: s.order, Present: s.present, Versions: maps.Clone(s.versions),
		Record: rollout.RecordState{
			RolloutRecord: s.record, Revision: s.recordRevision, KnownAt: s.recordAt, Era: s.recordEra, IsLost: s.isRecordLost,
		},
		IsOrderLost: s.replacement != nil,
		Held:        len(s.permits.expiries), Used: s.permits.used, Requests: s.permits.requests,
	}
	if s.balancer != nil {
		st.InFlightOthers = s.balancer.InFlightExcept(s.order.Target)
	}
	return st
}
