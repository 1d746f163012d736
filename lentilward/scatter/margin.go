package scatter

import (
	"sync"
	"time"
)

const (
	// targetPerAnswerMargin bounds the margin of an early answer for short targets where
	// the way to the caller is not known to need more.
	targetPerAnswerMargin = 8
	// targetPerMaxMargin bounds the margin in any case: some of the target must be left
	// for the servers.
	targetPerMaxMargin = 2
	// sendingTime is the time that an answer of 3 KiB takes on a link of 25 Mbit/s, and its
	// caller to read it.
	sendingTime = 1500 * time.Microsecond
	// answerCPUTime is the processor time to read a request before it counts as begun, and to
	// merge, encode and write its answer. A machine with a share of a core takes longer.
	answerCPUTime = 500 * time.Microsecond
	// latenessHalfLife is the time in which a delay of this instance's timers counts half.
	latenessHalfLife = time.Second
	// latenessWeight is the weight of a new sample in the moving average, and
	// latenessFactor how much of the average is allowed for.
	latenessWeight = 0.125
	latenessFactor = 2
)

// lateness measures how late the timers of this instance fire, which a machine with a
// small share of a core shows first.
type lateness struct {
	mu      sync.Mutex
	average float64
	at      time.Time
}

// observe records that a timer that was due at a time has fired.
func (l *lateness) observe(dueAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.average += latenessWeight * (float64(max(0, now.Sub(dueAt))) - l.average)
}

// allowance returns by how much earlier a timer must be set.
func (l *lateness) allowance(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	return time.Duration(latenessFactor * l.average)
}

// decay halves the average for each latenessHalfLife without samples. The caller holds mu.
func (l *lateness) decay(now time.Time) {
	for now.Sub(l.at) >= latenessHalfLife {
		l.average /= 2
		l.at = l.at.Add(latenessHalfLife)
		if l.average < float64(time.Microsecond) {
			l.average, l.at = 0, now
		}
	}
}

// answerMargin returns how long before the target latency an early answer is sent, so that
// it reaches the caller in time.
func (r *run) answerMargin(now time.Time) time.Duration {
	target := r.task.Route.TargetLatency
	margin := min(r.policy.AnswerMargin, target/targetPerAnswerMargin)
	if r.task.Transit > 0 {
		processing := time.Duration(float64(answerCPUTime) / r.policy.cpuShare())
		margin = max(margin, r.task.Transit+sendingTime+processing+r.engine.lateness.allowance(now))
	}
	return min(margin, target/targetPerMaxMargin)
}

// cpuShare returns the share of a core that the machine has; 1 if it is not known.
func (p *Policy) cpuShare() float64 {
	if p.CPUShare <= 0 {
		return 1
	}
	return min(1, p.CPUShare)
}
