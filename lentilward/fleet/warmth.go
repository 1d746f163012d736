package fleet

import (
	"context"
	"net/netip"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// minWarmthInterval and maxWarmthInterval bound the interval between queries
	// to peers, which doubles while the same servers stay cold.
	minWarmthInterval = 300 * time.Millisecond
	maxWarmthInterval = 20 * time.Second
	// warmthQueryTimeout bounds one query.
	warmthQueryTimeout = 300 * time.Millisecond
	// maxServersPerWarmthQuery bounds the servers in one query.
	maxServersPerWarmthQuery = 256
)

// ServerProcess names one process of a backend server, in a query for those that
// are warm and in its reply.
type ServerProcess struct {
	Address netip.AddrPort `cbor:"address"`
	BootID  uint64         `cbor:"boot-id"`
}

// queryWarmth asks peers which of the servers that are cold here are warm there. A
// process that one instance found warm counts as warm for all.
func (f *Fleet) queryWarmth(ctx context.Context, now time.Time) {
	var cold []ServerProcess
	var coldHash uint64
	for _, s := range f.board.Routes.Load().Servers {
		if bootID := s.BootID.Load(); bootID != 0 && s.Usable() && !s.Warm() && len(cold) < maxServersPerWarmthQuery {
			cold = append(cold, ServerProcess{s.Address, bootID})
			coldHash ^= bootID
		}
	}
	if len(cold) == 0 || !f.warmthPacer.allow(coldHash, now) || !f.queryingWarmth.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.queryingWarmth.Store(false)
		ctx, cancel := context.WithTimeout(ctx, warmthQueryTimeout)
		defer cancel()
		f.markWarm(f.QueryWarmth(ctx, cold))
	}()
}

// pacer spaces the queries about one set of servers with exponential backoff. The
// set is identified by serversHash, the XOR of the servers' boot ids.
type pacer struct {
	serversHash uint64
	nextQuery   time.Time
	interval    time.Duration
}

// allow reports whether a query about the servers with this hash may be sent now.
// If so, it starts the next interval.
func (p *pacer) allow(serversHash uint64, now time.Time) bool {
	if serversHash != p.serversHash {
		p.serversHash = serversHash
		p.interval = minWarmthInterval
		p.nextQuery = now
	}
	if now.Before(p.nextQuery) {
		return false
	}
	p.nextQuery = now.Add(p.interval)
	p.interval = min(2*p.interval, maxWarmthInterval)
	return true
}

// markWarm marks the processes that peers reported as warm, if they still run.
func (f *Fleet) markWarm(warm []ServerProcess) {
	servers := f.board.Routes.Load().Servers
	for _, w := range warm {
		if s := servers[w.Address]; s != nil && w.BootID != 0 && s.BootID.Load() == w.BootID {
			s.WarmBootID.Store(w.BootID)
		}
	}
}

// FilterWarm returns those of the processes that are warm on this instance.
func FilterWarm(routes *blackboard.Routes, processes []ServerProcess) []ServerProcess {
	var warm []ServerProcess
	for _, q := range processes {
		if s := routes.Servers[q.Address]; s != nil && s.Usable() && s.Warm() && s.BootID.Load() == q.BootID {
			warm = append(warm, q)
		}
	}
	return warm
}
