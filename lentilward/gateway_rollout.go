package main

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/directory"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/rollout"
	"lentilward.org/lentilward/rollout/local"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

const (
	// rolloutInterval is the interval at which reports are sent and controllers decide
	// while a rollout is under way, and rolloutIdleInterval the same while none is.
	rolloutInterval     = 50 * time.Millisecond
	rolloutIdleInterval = 500 * time.Millisecond
	// noticeInterval is the pause between two notices to an instance.
	noticeInterval = 200 * time.Millisecond
	// rolloutFrameTimeout bounds the exchange of one frame.
	rolloutFrameTimeout = 500 * time.Millisecond
	// rolloutWriteTimeout bounds one write of a record.
	rolloutWriteTimeout = 2 * time.Second
	// takeOverDelay is the additional time that each instance waits in the rendezvous
	// hashing order before it takes over a rollout that nobody controls.
	takeOverDelay = 2 * time.Second
	// afterNoticePeriod is how long a controller tells peers of the end of a rollout.
	afterNoticePeriod = 3 * time.Second
	// conflictPause is how long an instance waits after a conflict before it controls the
	// rollout again: its replica must first show what the conflict was with.
	conflictPause = 500 * time.Millisecond
	// maxOrderLag is the longest time for which an order is taken to have been under way
	// to this instance; it usually takes some milliseconds, and an instance that has
	// started can't tell.
	maxOrderLag = time.Second
	// lateOrderAge is the age of the records from which on it is not known when an order
	// that they contain was given.
	lateOrderAge = 5 * time.Second
)

// rolloutRunner connects the rollouts of this instance with its peers and the store.
type rolloutRunner struct {
	self        string
	incarnation uint64
	log         *slog.Logger
	local       *local.Rollouts
	bounds      func() rollout.Bounds
	members     func() *blackboard.Members
	// isStopping reports whether this instance must not control rollouts any more.
	isStopping func() bool
	// write writes the record of a rollout and its status if neither the order nor the
	// record has another revision, and returns the new one.
	write   func(ctx context.Context, service string, record domain.RolloutRecord, revision uint64) (uint64, error)
	reports func(ctx context.Context, peer netip.AddrPort, r []rollout.Report) ([]rollout.Reply, error)
	notices func(ctx context.Context, peer netip.AddrPort, n []rollout.Notice) ([]rollout.Confirmation, error)

	// wake makes run do at once what is due.
	wake chan struct{}

	mu          sync.Mutex
	controllers map[string]*rolloutControl
	// retryAt is until when this instance does not control a service's rollout again after
	// a conflict.
	retryAt map[string]time.Time
}

// rolloutControl is a controller with what is on its way for it. rolloutRunner.mu guards
// it.
type rolloutControl struct {
	*rollout.Controller
	order rollout.Order
	// era is the era of the store in which the order and the record are known.
	era     uint64
	writing bool
	// lost is set once another record was written, and doneAt once the rollout has ended.
	lost bool
	// attempted is the last record whose write has failed: it may have been made all the
	// same.
	attempted domain.RolloutRecord
	doneAt    time.Time
	// notifiedAt has when each instance was sent a notice, told the phases that were
	// confirmed.
	notifiedAt map[string]time.Time
	told       map[string]rollout.Phase
}

// connectRollouts connects the rollouts. Without settings for them it does nothing.
func (g *Gateway) connectRollouts(store *platform.Store) {
	o := g.options.Load()
	if o.Rollouts.ExposureShare <= 0 {
		return
	}
	r := &rolloutRunner{
		self: o.Name, incarnation: uint64(time.Now().UnixNano()), log: g.log, local: local.New(g.log), members: g.board.Members.Load,
		isStopping:  func() bool { return g.board.LocalInstance.Load().Phase >= blackboard.Stopping },
		controllers: make(map[string]*rolloutControl), retryAt: make(map[string]time.Time), wake: make(chan struct{}, 1), reports: g.links.ReportRollouts, notices: g.links.NotifyRollouts,
		bounds: func() rollout.Bounds {
			b := g.options.Load().Rollouts
			return rollout.Bounds{Share: b.ExposureShare, Slack: b.ExposureSlack, Rollback: time.Duration(b.Rollback)}
		},
		write: func(ctx context.Context, service string, record domain.RolloutRecord, revision uint64) (uint64, error) {
			return writeRollout(ctx, store, service, record, revision)
		},
	}
	g.rollouts, r.local.OnAsk = r, r.wakeUp
	r.local.Rollback = func() time.Duration { return r.bounds().Rollback }
	g.peers.RolloutReports, g.peers.RolloutNotices = r.handleReports, r.handleNotices
	g.directory.Rollouts = &directory.Rollouts{
		Prefixes: []string{platform.RolloutOrderPrefix, platform.RolloutRecordPrefix}, Apply: r.applyRecord, SetServers: r.local.SetServers,
	}
	r.registerGauges(g.metrics)
}

// bootClock returns the time since the machine was started, including the time for which
// it was suspended.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// writeRollout writes the record of a rollout and its status in one transaction.
func writeRollout(ctx context.Context, store *platform.Store, service string, record domain.RolloutRecord, revision uint64) (uint64, error) {
	recordWrite, err := platform.EncodeRolloutRecord(service, record)
	if err != nil {
		return 0, err
	}
	status, err := platform.EncodeRolloutStatus(service, record.State, record.Target)
	if err != nil {
		return 0, err
	}
	conditions := []platform.Condition{
		{Key: recordWrite.Key, Revision: revision}, {Key: platform.RolloutOrderPrefix + service, Revision: record.OrderRevision},
	}
	// Where the store gives each write its own revision, it returns that of the last one.
	return store.Commit(ctx, conditions, []platform.Write{status, recordWrite}, nil)
}

// applyRecord takes over an order or a record that became known after knownAt.
func (r *rolloutRunner) applyRecord(m mirror.Record, knownAt, now time.Time) {
	defer r.wakeUp()
	if service, ok := strings.CutPrefix(m.Key, platform.RolloutOrderPrefix); ok {
		o := rollout.Order{Revision: m.Revision, Era: m.Era, KnownAt: knownAt}
		if age := now.Sub(knownAt); age > maxOrderLag {
			o.Late, o.KnownAt = age > lateOrderAge, now.Add(-maxOrderLag)
		}
		var err error
		if m.Deleted {
			o = rollout.Order{Era: m.Era}
		} else if o.RolloutOrder, err = platform.DecodeRollout(m.Key, m.Value); err != nil {
			r.log.Error("order of a rollout is malformed; ignoring it", "key", m.Key, "revision", m.Revision, "error", err)
			return
		}
		r.local.SetOrder(service, o, now)
		return
	}
	service := strings.TrimPrefix(m.Key, platform.RolloutRecordPrefix)
	if m.Deleted {
		r.local.SetRecord(service, domain.RolloutRecord{}, 0, m.Era, now)
		return
	}
	record, err := platform.DecodeRolloutRecord(m.Value)
	if err != nil {
		r.log.Error("record of a rollout is malformed; ignoring it", "key", m.Key, "revision", m.Revision, "error", err)
		return
	}
	r.local.SetRecord(service, record, m.Revision, m.Era, now)
}

// run follows the rollouts until the context ends.
func (r *rolloutRunner) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.wake:
		}
		interval := rolloutIdleInterval
		if r.tick(ctx, time.Now()) {
			interval = rolloutInterval
		}
		timer.Reset(interval)
	}
}

// wakeUp makes run do at once what is due.
func (r *rolloutRunner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// tick does what is due and reports whether a rollout is under way.
func (r *rolloutRunner) tick(ctx context.Context, now time.Time) (active bool) {
	members := r.members()
	reports := make(map[string][]sentReport)
	for _, s := range r.local.Services(now) {
		state := s.State()
		if r.control(ctx, state, members, now) || state.Phase < rollout.Completed {
			active = true
		}
		if !state.IsRecorded() {
			continue
		}
		if report, due := s.NextReport(r.self, r.incarnation, now); due {
			reports[state.Record.Controller] = append(reports[state.Record.Controller], sentReport{s, report})
		}
	}
	for controller, list := range reports {
		r.sendReports(ctx, controller, list, members)
	}
	return active
}

// sentReport is a report with the service that made it.
type sentReport struct {
	service *local.Service
	report  rollout.Report
}

// errNoController is the error of reports whose controller is not a known member.
var errNoController = errors.New("controller is not known")

// sendReports sends reports to a controller in the background.
func (r *rolloutRunner) sendReports(ctx context.Context, controller string, list []sentReport, members *blackboard.Members) {
	bodies := make([]rollout.Report, 0, len(list))
	for _, s := range list {
		bodies = append(bodies, s.report)
	}
	if controller == r.self {
		for i, reply := range r.handleReports(bodies) {
			list[i].service.HandleReply(list[i].report, reply, nil, time.Now())
		}
		return
	}
	member, known := members.Find(controller)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, rolloutFrameTimeout)
		defer cancel()
		replies, err := []rollout.Reply(nil), error(errNoController)
		if known {
			replies, err = r.reports(ctx, member.Address, bodies)
		}
		if err != nil {
			replies = make([]rollout.Reply, len(bodies))
			r.log.Debug("reporting to the controller of a rollout failed", "controller", controller, "error", err)
		}
		for i, s := range list {
			s.service.HandleReply(s.report, replies[i], err, time.Now())
		}
	}()
}

// handleReports handles reports of an instance.
func (r *rolloutRunner) handleReports(reports []rollout.Report) []rollout.Reply {
	now := time.Now()
	replies := make([]rollout.Reply, len(reports))
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, report := range reports {
		if c := r.controllers[report.Service]; c != nil && !c.lost {
			replies[i] = c.HandleReport(report, now)
			continue
		}
		replies[i].Wait = rolloutFrameTimeout
		// News is passed on also by an instance that does not control the rollout any more.
		if s := r.local.Find(report.Service); s != nil {
			if state := s.State(); state.Order.Is(report.Order, report.Era) {
				replies[i].Phase = state.Phase
			}
		}
	}
	return replies
}

// handleNotices takes over news of rollouts.
func (r *rolloutRunner) handleNotices(notices []rollout.Notice) []rollout.Confirmation {
	confirmations := make([]rollout.Confirmation, 0, len(notices))
	for _, n := range notices {
		confirmations = append(confirmations, r.local.Notify(n, time.Now()))
	}
	return confirmations
}

// startRollouts runs the rollouts if the settings call for them.
func (g *Gateway) startRollouts(ctx context.Context) {
	if g.rollouts != nil {
		go g.rollouts.run(ctx)
	}
}
