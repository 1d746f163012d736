// Package quota keeps the use of each subject within its limit over all instances: the
// requests of a tenant within its allowance, the calls of a backend server within the limit
// that it names. One instance, the home of the subject, keeps a token bucket and lends tokens
// to the others for a short time.
package quota

import (
	"math"
	"time"
)

// Limit is the allowance of a tenant, or the limit that a backend server names.
type Limit struct {
	// Rate is the number of requests a second, and Burst the number that may be sent at
	// once. A Rate of 0 sets no bound.
	Rate  float64 `cbor:"rate"`
	Burst float64 `cbor:"burst"`
	// Version is the version of the configuration that the limit is from; 0 if it is from none.
	Version uint64 `cbor:"version"`
	// SeenAt is when this instance has last seen the limit in force; zero if that does not
	// matter. Instances tell each other how long ago that was.
	SeenAt time.Time `cbor:"-"`
}

// Settings say how exact allowances are kept: in a Window a tenant's requests exceed its
// allowance by at most a share of Overage, plus Slack.
type Settings struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// maxTerm bounds the term of a lease.
const maxTerm = 500 * time.Millisecond

// term returns how long a lease is valid. Tokens are used up to one term after they were
// lent, so the requests of a window exceed the allowance by those of one term. This may
// take half of the overage; the rest is left for the time in which a fault is noticed.
func (s Settings) term() time.Duration {
	return min(maxTerm, time.Duration(float64(s.Window)*s.Overage/2))
}

// homeStart is the most that a home lends at once after it has become one. fallbackStart
// is what all instances together may use when they lose the home of a tenant. Two homes
// may begin in one window, so that both stay within the slack.
func (s Settings) homeStart() float64     { return s.Slack / 2 }
func (s Settings) fallbackStart() float64 { return s.Slack / 4 }

// startOf is the most that a new home lends at once of a tenant: another home may have lent
// the rest.
func (s Settings) startOf(l Limit) float64 { return min(s.homeStart(), l.Burst) }

// bucketSize returns how many requests of a tenant may be sent at once. The allowance is
// counted over a window, so a tenant whose requests come unevenly may exceed its burst
// within it. Half of the slack covers what a window may then have in addition.
func (s Settings) bucketSize(l Limit) float64 {
	return l.Burst + min(l.Rate*s.Window.Seconds(), s.Slack/2)
}

// Bucket is a token bucket. The level is negative while more was used than lent.
type Bucket struct {
	rate, size, level float64
	updatedAt         time.Time
}

// NewBucket returns a bucket with a level.
func NewBucket(rate, size, level float64, now time.Time) Bucket {
	return Bucket{rate: rate, size: size, level: min(level, size), updatedAt: now}
}

// advance adds the tokens of the time that has passed.
func (b *Bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.level = min(b.size, b.level+b.rate*elapsed.Seconds())
		b.updatedAt = now
	}
}

// Resize changes the rate and size from now on. Tokens beyond the size are lost.
func (b *Bucket) Resize(rate, size float64, now time.Time) {
	b.advance(now)
	b.rate, b.size, b.level = rate, size, min(b.level, size)
}

// Take takes up to n whole tokens and returns how many it took.
func (b *Bucket) Take(n int, now time.Time) int {
	b.advance(now)
	taken := max(0, min(n, int(b.level)))
	b.level -= float64(taken)
	return taken
}

// Add adds tokens up to the size; a negative number removes tokens, down to floor.
func (b *Bucket) Add(n, floor float64, now time.Time) {
	b.advance(now)
	if next := min(b.size, b.level+n); n > 0 || next >= floor {
		b.level = next
	} else {
		b.level = min(b.level, floor)
	}
}

// Level returns the number of tokens.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// Wait returns the time until the bucket has a token.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.advance(now)
	if b.level >= 1 {
		return 0
	}
	if b.rate <= 0 {
		return time.Hour
	}
	return time.Duration(math.Ceil((1 - b.level) / b.rate * float64(time.Second)))
}

// average is an exponentially weighted moving average of a rate.
type average struct {
	perSecond float64
	updatedAt time.Time
}

// averagePeriod is the time constant of the demand of tenants.
const averagePeriod = 2 * time.Second

func (a *average) add(n float64, now time.Time) {
	a.advance(now)
	a.perSecond += n / averagePeriod.Seconds()
}

func (a *average) advance(now time.Time) {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		a.perSecond *= math.Exp(-elapsed.Seconds() / averagePeriod.Seconds())
		a.updatedAt = now
	}
}
