package main

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// fetchPatience is how long a fetch from one peer keeps fetches from others
// waiting. Afterwards the peer is taken to hang, and the next fetch starts beside it.
const fetchPatience = 300 * time.Millisecond

// recordFetcher fetches records from the peers that announce newer versions. It
// makes one fetch at a time while peers reply.
type recordFetcher struct {
	// version returns this instance's own version.
	version func() blackboard.Version
	// fetch fetches newer records from a peer and merges them.
	fetch func(ctx context.Context, peer netip.AddrPort)

	// turn has room for one element: a fetch puts it there and takes it out when it
	// ends, or after fetchPatience.
	turn chan struct{}
	// active has the peers from which a fetch runs or waits for its turn.
	active sync.Map
}

func newRecordFetcher(version func() blackboard.Version, fetch func(context.Context, netip.AddrPort)) *recordFetcher {
	return &recordFetcher{version: version, fetch: fetch, turn: make(chan struct{}, 1)}
}

// handleAnnouncement fetches records from a peer that announced a version, unless
// they have arrived from another peer by the time it is this fetch's turn.
func (f *recordFetcher) handleAnnouncement(ctx context.Context, peer netip.AddrPort, v blackboard.Version) {
	if _, active := f.active.LoadOrStore(peer, true); active {
		return
	}
	defer f.active.Delete(peer)
	select {
	case f.turn <- struct{}{}:
	case <-ctx.Done():
		return
	}
	endTurn := sync.OnceFunc(func() { <-f.turn })
	defer endTurn()
	if f.version().Compare(v) >= 0 {
		return
	}
	patience := time.AfterFunc(fetchPatience, endTurn)
	defer patience.Stop()
	f.fetch(ctx, peer)
}
