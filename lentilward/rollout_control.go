package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/rollout"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// control lets this instance control a rollout if it is its turn, and does what is due. It
// reports whether it controls the rollout.
func (r *rolloutRunner) control(ctx context.Context, state rollout.State, members *blackboard.Members, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.controllers[state.Service]
	if c != nil && r.isOver(c, state, now) {
		if c.lost {
			r.retryAt[state.Service] = now.Add(conflictPause)
		}
		delete(r.controllers, state.Service)
		c = nil
	}
	if c == nil {
		if now.Before(r.retryAt[state.Service]) || !r.isCandidate(state, members, now) {
			return false
		}
		c = &rolloutControl{
			Controller: rollout.NewController(r.self, state, r.bounds(), r.log, now), order: state.Order, era: eraOf(state),
			notifiedAt: make(map[string]time.Time), told: make(map[string]rollout.Phase),
		}
		r.controllers[state.Service] = c
	}
	alive := []string{r.self}
	for _, m := range members.AlivePeers() {
		alive = append(alive, m.Name)
	}
	c.Judge(now)
	if !c.writing {
		if record, due := c.Step(now, alive, state.Versions[state.Order.Target]); due {
			c.writing = true
			go r.writeRecord(ctx, c, state.Service, record, c.Revision())
		}
	}
	if c.IsDone() && c.doneAt.IsZero() {
		c.doneAt = now
	}
	r.sendNotices(ctx, c, state, members, now)
	return true
}

// eraOf returns the era of the store in which the order and the record of a rollout are known.
func eraOf(state rollout.State) uint64 { return max(state.Order.Era, state.Record.Era) }

// isOver reports whether a controller must not go on: its order was replaced, another
// instance has written the record, or the end was told long enough.
func (r *rolloutRunner) isOver(c *rolloutControl, state rollout.State, now time.Time) bool {
	if c.writing {
		return false
	}
	if state.Record.Revision > c.Revision() && state.Record.RolloutRecord == c.attempted {
		c.Written(c.attempted, state.Record.Revision, now)
	}
	switch {
	case c.lost, c.order.Revision != state.Order.Revision, c.era != eraOf(state), state.IsOrderLost, r.isStopping(), state.Record.Revision > c.Revision():
		return true
	}
	return !c.doneAt.IsZero() && now.Sub(c.doneAt) >= afterNoticePeriod
}

// isCandidate reports whether this instance should control a rollout that it does not
// control yet.
func (r *rolloutRunner) isCandidate(state rollout.State, members *blackboard.Members, now time.Time) bool {
	isOver := state.IsRecorded() && state.Record.State.IsFinal() && !state.Record.IsLost
	if state.Order.Revision == 0 || state.IsOrderLost || isOver || r.isStopping() {
		return false
	}
	delay := time.Duration(members.Rank("rollout/"+state.Service)) * takeOverDelay
	if !state.IsRecorded() {
		return now.Sub(state.Order.KnownAt) >= delay
	}
	if state.Record.Controller == r.self {
		return now.Sub(state.Record.KnownAt) >= noticeInterval
	}
	holder, known := members.Find(state.Record.Controller)
	if known && (holder.State == blackboard.Alive || holder.State == blackboard.Suspected) {
		delay += rollout.LapseAfter
	}
	return now.Sub(state.Record.KnownAt) >= delay
}

// writeRecord writes the record of a rollout.
func (r *rolloutRunner) writeRecord(ctx context.Context, c *rolloutControl, service string, record domain.RolloutRecord, revision uint64) {
	writeCtx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	written, err := r.write(writeCtx, service, record, revision)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	c.writing = false
	switch {
	case err == nil:
		c.Written(record, written, now)
		r.local.NoteWritten(service, record)
	case errors.Is(err, platform.ErrConflict):
		// Another instance has written it, or the order has changed, or an earlier write
		// succeeded whose answer was lost. The record tells which once it is known.
		r.log.Info("record of a rollout has changed; not controlling it any more", "service", service, "order", record.OrderRevision, "revision", revision)
		c.lost = true
	default:
		r.log.Info("writing the record of a rollout failed", "service", service, "state", string(record.State), "error", err)
		c.attempted = record
		c.WriteFailed(now)
	}
}

// sendNotices tells the instances the phase of a rollout: that calls move to the new
// version until it has ended, and each end until it is confirmed. The caller holds mu.
func (r *rolloutRunner) sendNotices(ctx context.Context, c *rolloutControl, state rollout.State, members *blackboard.Members, now time.Time) {
	phase := c.Phase()
	if phase < rollout.Moving {
		return
	}
	n := rollout.Notice{Service: state.Service, Order: c.order.Revision, Era: c.order.Era, Phase: phase}
	c.Confirm(r.self, r.local.Notify(n, now), now)
	peers := members.AlivePeers()
	interval := max(noticeInterval, time.Duration(len(peers))*time.Millisecond)
	for _, m := range peers {
		isEnd := phase == rollout.Completed || phase == rollout.RolledBack
		isTold, since := c.told[m.Name] >= phase, now.Sub(c.notifiedAt[m.Name])
		if isTold && (isEnd || since < interval) || since < noticeInterval/4 {
			continue
		}
		c.notifiedAt[m.Name] = now
		go func() {
			ctx, cancel := context.WithTimeout(ctx, rolloutFrameTimeout)
			defer cancel()
			replies, err := r.notices(ctx, m.Address, []rollout.Notice{n})
			r.mu.Lock()
			defer r.mu.Unlock()
			if err != nil {
				return
			}
			c.told[m.Name] = max(c.told[m.Name], min(phase, replies[0].Phase))
			c.Confirm(m.Name, replies[0], now)
		}()
	}
}

// registerGauges registers the metrics of rollouts.
func (r *rolloutRunner) registerGauges(m *monitor.Metrics) {
	sum := func(count func(rollout.State) int) func() float64 {
		return func() float64 {
			n := 0
			for _, s := range r.local.Services(time.Now()) {
				n += count(s.State())
			}
			return float64(n)
		}
	}
	m.RegisterGauge("lentilward_rollouts", "Rollouts under way.", sum(func(s rollout.State) int {
		if s.Phase >= rollout.Completed {
			return 0
		}
		return 1
	}))
	m.RegisterGauge("lentilward_rollout_permits_used", "First calls that this instance has sent to new versions in the last rollout of each service.",
		sum(func(s rollout.State) int { return s.Used }))
	m.RegisterGauge("lentilward_rollout_permits_held", "Permits for first calls to new versions that this instance holds.",
		sum(func(s rollout.State) int { return s.Held }))
	m.RegisterGauge("lentilward_rollouts_controlled", "Rollouts that this instance controls.", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(len(r.controllers))
	})
}

// rolloutView is what an instance shows of a rollout.
type rolloutView struct {
	Service    string         `json:"service"`
	Target     string         `json:"target"`
	Present    string         `json:"present"`
	State      string         `json:"state"`
	Controller string         `json:"controller"`
	Elapsed    float64        `json:"elapsed-seconds"`
	Duration   float64        `json:"duration-seconds"`
	Exposed    int            `json:"exposed"`
	Requests   int            `json:"requests"`
	Samples    int            `json:"samples"`
	Bad        int            `json:"bad"`
	Reason     string         `json:"reason"`
	Servers    map[string]int `json:"servers"`
}

// serveRollouts answers /rollouts with the rollouts as this instance knows them, and
// passes other requests on.
func (g *Gateway) serveRollouts(next http.Handler) http.Handler {
	if g.rollouts == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/rollouts" {
			next.ServeHTTP(w, r)
			return
		}
		views := []rolloutView{}
		for _, s := range g.rollouts.local.Services(time.Now()) {
			st := s.State()
			v := rolloutView{
				Service: st.Service, Target: st.Order.Target, Present: st.Present, State: st.Phase.String(),
				Elapsed: time.Since(st.Order.KnownAt).Seconds(), Duration: st.Order.Duration.Seconds(), Servers: st.Versions,
			}
			if st.IsRecorded() {
				v.Controller, v.Exposed, v.Requests = st.Record.Controller, st.Record.Exposed, st.Record.Requests
				v.Samples, v.Bad, v.Reason = st.Record.Samples, st.Record.Bad, st.Record.Reason
			}
			views = append(views, v)
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(views); err != nil {
			g.log.Debug("answering with the rollouts failed", "error", err)
		}
	})
}
