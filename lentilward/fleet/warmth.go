package fleet

import (
	"context"
	"net/netip"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// While the same servers stay cold, questions to peers become rarer, from the
	// least to the largest pause.
	leastWarmthPause   = 300 * time.Millisecond
	largestWarmthPause = 20 * time.Second
	// warmthTimeout bounds such a question.
	warmthTimeout = 300 * time.Millisecond
	// maxWarmthQuestion bounds the servers asked about at once.
	maxWarmthQuestion = 256
)

// Warmth says which process of a server is known to bear its full load.
type Warmth struct {
	Address netip.AddrPort `cbor:"address"`
	BootID  uint64         `cbor:"boot-id"`
}

// learnWarmth asks peers about servers that are cold to this instance, which
// others may have seen warm. A process that one instance proved is warm for
// all.
func (f *Fleet) learnWarmth(ctx context.Context, now time.Time) {
	var question []Warmth
	var about uint64
	for _, s := range f.board.Routes.Load().Servers {
		if boot := s.BootID.Load(); boot != 0 && s.Usable() && !s.Warm() && len(question) < maxWarmthQuestion {
			question = append(question, Warmth{s.Address, boot})
			about ^= boot
		}
	}
	if len(question) == 0 || !f.warmth.due(about, now) || !f.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.asking.Store(false)
		ctx, cancel := context.WithTimeout(ctx, warmthTimeout)
		defer cancel()
		f.note(f.AskWarmth(ctx, question))
	}()
}

// pacer spaces the questions about the same servers.
type pacer struct {
	about uint64
	next  time.Time
	pause time.Duration
}

// due tells whether a question may be asked now. About names what it asks for.
func (p *pacer) due(about uint64, now time.Time) bool {
	if about != p.about {
		p.about = about
		p.pause = leastWarmthPause
		p.next = now
	}
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(p.pause)
	p.pause = min(2*p.pause, largestWarmthPause)
	return true
}

// note takes in what peers know.
func (f *Fleet) note(warm []Warmth) {
	servers := f.board.Routes.Load().Servers
	for _, w := range warm {
		if s := servers[w.Address]; s != nil && w.BootID != 0 && s.BootID.Load() == w.BootID {
			s.WarmBootID.Store(w.BootID)
		}
	}
}

// KnownWarm returns those of the servers that are warm here.
func KnownWarm(routes *blackboard.Routes, question []Warmth) []Warmth {
	var warm []Warmth
	for _, q := range question {
		if s := routes.Servers[q.Address]; s != nil && s.Usable() && s.Warm() && s.BootID.Load() == q.BootID {
			warm = append(warm, q)
		}
	}
	return warm
}
