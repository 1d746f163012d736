// Package local is the instance side of rollouts: it follows the phases of the orders, sets
// the version policies of services, uses permits and counts replies.
package local

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/rollout"
	"lentilward.org/schema/domain"
)

const (
	// followDelay is how long most of a service's servers must be of another version than
	// the present one before the service follows them without an order: the servers of a
	// rollout may become known before its order.
	followDelay = 2 * time.Second
	// ttlShare is the part of the time for a rollback for which permits are valid at most,
	// and leaseShare the one for which an instance prefers the new version while the
	// traffic moves without hearing from the controller: one that is cut off would not
	// learn of a rollback.
	ttlShare   = 0.4
	leaseShare = 0.6
	// defaultRollback is the time for a rollback if it is not set.
	defaultRollback = 5 * time.Second
)

// Rollouts knows the orders of rollouts, follows their phases, and gives each service its
// version policy.
type Rollouts struct {
	log *slog.Logger
	// Now returns the time on a clock that also counts while the machine is suspended. It
	// is used for permits and leases.
	Now func() time.Duration
	// Rollback returns the time after which a bad version must get no more requests.
	Rollback func() time.Duration
	// OnAsk is called when a report should be sent at once. It must not block.
	OnAsk func()

	mu       sync.Mutex
	services map[string]*Service
}

// New returns a Rollouts without orders.
func New(log *slog.Logger) *Rollouts {
	start := time.Now()
	return &Rollouts{
		log: log, services: make(map[string]*Service), OnAsk: func() {}, Rollback: func() time.Duration { return defaultRollback },
		Now: func() time.Duration { return time.Since(start) },
	}
}

// Service is the state of one service on this instance.
type Service struct {
	local *Rollouts
	name  string

	mu       sync.Mutex
	balancer *balance.Service
	// versions has the number of servers in service of each version.
	versions map[string]int
	order    rollout.Order
	record   domain.RolloutRecord
	// recordRevision is the record's revision; 0 if there is none. recordAt is when it
	// became known.
	recordRevision uint64
	recordAt       time.Time
	returned
	// notice is the last news of the present order, and heardAt when it came.
	notice  rollout.Notice
	heardAt time.Duration
	// present is the version in use apart from the rollout; "" if there is no single one.
	// majority is the version of most servers if that is another, since majoritySince.
	present, majority string
	majoritySince     time.Time
	applied           appliedPolicy
	permits           permits
}

// appliedPolicy identifies the policy that is in force.
type appliedPolicy struct {
	phase           rollout.Phase
	order           uint64
	present, target string
	cutOff          bool
	balancer        *balance.Service
}

// service returns the state of a service.
func (r *Rollouts) service(name string) *Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		s = &Service{local: r, name: name}
		r.services[name] = s
	}
	return s
}

// Find returns the state of a service; nil if it has no servers, order or record.
func (r *Rollouts) Find(name string) *Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.services[name]
}

// Services returns the services that have an order, sorted by name. It follows what changes
// with time for all services, so it has to be called now and then.
func (r *Rollouts) Services(now time.Time) []*Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*Service
	for _, s := range r.services {
		s.mu.Lock()
		s.endHold(now)
		s.apply(now)
		if s.order.Revision != 0 {
			list = append(list, s)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b *Service) int { return strings.Compare(a.name, b.name) })
	return list
}

// part returns a part of the time for a rollback.
func (r *Rollouts) part(share float64) time.Duration {
	return time.Duration(share * float64(r.Rollback()))
}

// SetOrder takes over an order; one without a target means that the order was deleted.
func (r *Rollouts) SetOrder(service string, o rollout.Order, now time.Time) {
	s := r.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keepsOrder(o, now) {
		s.replaceOrder(o, now)
	}
	s.apply(now)
}

// SetRecord takes over the record of a rollout.
func (r *Rollouts) SetRecord(service string, record domain.RolloutRecord, revision, era uint64, now time.Time) {
	s := r.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = record
	if s.keepsRecord(record, revision, era, now) {
		s.apply(now)
		return
	}
	if s.record.State != record.State || s.record.OrderRevision != record.OrderRevision || s.record.Controller != record.Controller {
		r.log.Info("record of a rollout", "service", service, "target", record.Target, "present", record.Present, "state", string(record.State),
			"controller", record.Controller, "exposed", record.Exposed, "samples", record.Samples, "bad", record.Bad, "reason", record.Reason, "revision", revision)
	}
	s.recordRevision, s.recordEra, s.recordAt, s.heardAt = revision, era, now, r.Now()
	s.setRecord(record)
	s.apply(now)
}

// setRecord sets the record and the version that it says is in use. The caller holds mu.
func (s *Service) setRecord(record domain.RolloutRecord) {
	s.record = record
	switch record.State {
	case domain.RolloutCompleted:
		s.present = record.Target
	default:
		if record.Present != "" {
			s.present = record.Present
		}
	}
	s.majority = ""
}

// SetServers takes over the servers in service, given as their number by version, and sets
// the service's version policy.
func (r *Rollouts) SetServers(b *balance.Service, versions map[string]int, now time.Time) {
	s := r.service(b.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer, s.versions = b, versions
	s.apply(now)
}

// Notify takes over news of an order and returns what this instance follows. News of an
// order that it does not know yet, or not any more, is ignored.
func (r *Rollouts) Notify(n rollout.Notice, now time.Time) rollout.Confirmation {
	s := r.Find(n.Service)
	if s == nil {
		return rollout.Confirmation{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.order.Is(n.Order, n.Era) {
		return rollout.Confirmation{}
	}
	s.heardAt = r.Now()
	if n.Phase > s.notice.Phase {
		r.log.Info("news of a rollout", "service", n.Service, "order", n.Order, "phase", n.Phase.String())
		s.notice = n
	}
	s.apply(now)
	c := rollout.Confirmation{Phase: s.phase()}
	if s.balancer != nil {
		c.OldCalls = s.balancer.InFlightExcept(s.order.Target)
	}
	return c
}

// isRecorded reports whether the record is about the present order. The caller holds mu.
func (s *Service) isRecorded() bool {
	return rollout.IsAbout(s.record, s.order)
}

// phase returns the phase of the present order. The caller holds mu.
func (s *Service) phase() rollout.Phase {
	if s.order.Revision == 0 {
		return rollout.Idle
	}
	p := max(rollout.Running, s.notice.Phase)
	if s.isRecorded() {
		recorded := rollout.PhaseOf(s.record.State)
		if recorded >= rollout.Completed {
			return recorded
		}
		p = max(p, recorded)
	}
	return p
}

// apply sets the version policy if it has changed. The caller holds mu.
func (s *Service) apply(now time.Time) {
	s.followMajority(now)
	if s.balancer == nil {
		return
	}
	phase, target, present := s.phase(), s.order.Target, s.present
	cutOff := (phase == rollout.Moving || phase == rollout.Closing) && s.local.Now()-s.heardAt > s.local.part(leaseShare)
	next := appliedPolicy{phase: phase, cutOff: cutOff, order: s.order.Revision, present: present, target: target, balancer: s.balancer}
	if next == s.applied {
		return
	}
	s.applied = next
	policy := &balance.VersionPolicy{Prefer: present}
	switch phase {
	case rollout.Running:
		policy.TakePermit, policy.AskPermit, policy.OnResult = s.takePermit, s.askPermit, s.recordResult
		if target != present {
			policy.Trial = target
		}
	case rollout.Moving, rollout.Closing:
		policy.OnResult = s.recordResult
		switch {
		case cutOff:
			// The old servers may have been stopped meanwhile; then the new ones serve.
			policy.Reserve = target
		case phase == rollout.Moving:
			policy.Prefer, policy.Reserve = target, present
		default:
			policy.Prefer = target
		}
	case rollout.Completed:
		if !s.isRecorded() || s.record.State != domain.RolloutCompleted {
			policy.Prefer = target
		}
	case rollout.Idle:
		policy.OthersIfUnreachable = true
	case rollout.RolledBack:
		if target != present {
			policy.Excluded = target
		}
	}
	s.balancer.SetVersionPolicy(policy)
}

// followMajority determines the present version where no record tells it, and follows the
// servers of a service that changes its version without an order. The caller holds mu.
func (s *Service) followMajority(now time.Time) {
	ordered := s.order.Revision != 0
	active := ordered && s.phase() < rollout.Completed
	// While a rollout is under way its record tells, and after news of its end the record
	// that is still to come.
	if len(s.versions) == 0 || active && s.isRecorded() || ordered && !active && !s.isRecorded() {
		return
	}
	unwanted := ""
	switch {
	case active && !(s.record.State == domain.RolloutCompleted && s.record.Target == s.order.Target):
		unwanted = s.order.Target
	case active, s.record.State == "":
	case s.record.State != domain.RolloutCompleted:
		unwanted = s.record.Target
	case s.record.Present != s.record.Target:
		// The records of old servers that have stopped may stay for a while.
		unwanted = s.record.Present
	}
	version := mostServers(s.versions, unwanted)
	hasPresent := s.versions[s.present] > 0 && s.present != "" && s.present != unwanted
	if s.present == "" || !hasPresent {
		if version != "" {
			s.setPresent(version, now)
		}
		return
	}
	if active || version == "" || version == s.present {
		s.majority = ""
		return
	}
	if s.majority != version {
		s.majority, s.majoritySince = version, now
	}
	if now.Sub(s.majoritySince) >= followDelay {
		s.setPresent(version, now)
	}
}

func (s *Service) setPresent(version string, now time.Time) {
	s.local.log.Info("version in use", "service", s.name, "version", version, "before", s.present, "servers", s.versions[version])
	s.present, s.majority = version, ""
}

// mostServers returns the version of more servers than any other; "" after a tie. It
// considers the unwanted version only if there is no other.
func mostServers(versions map[string]int, unwanted string) string {
	best, tie := "", false
	for v, n := range versions {
		switch {
		case v == unwanted && unwanted != "":
		case best == "" || n > versions[best]:
			best, tie = v, false
		case n == versions[best]:
			tie = true
		}
	}
	if tie {
		return ""
	}
	return best
}
