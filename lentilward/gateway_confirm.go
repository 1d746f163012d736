package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// confirmPatience is how long the store may take to confirm the records before peers are
	// asked as well: it may fail for this instance alone.
	confirmPatience = 150 * time.Millisecond
	// confirmByPeerWait is how long the store may take to answer a peer that asks for this
	// instance, and confirmByPeerTimeout bounds the question to the peer.
	confirmByPeerWait    = 250 * time.Millisecond
	confirmByPeerTimeout = 350 * time.Millisecond
	// maxConfirmingPeers bounds the peers that are asked at the same time: the store may fail
	// for one of them as well.
	maxConfirmingPeers = 2
)

// confirmRecords asks the store whether the records are up to date, and peers as well while
// the store has not answered in time.
func (g *Gateway) confirmRecords() {
	g.follower.Confirm()
	if g.follower.UnconfirmedFor() < confirmPatience || !g.asksPeers.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.asksPeers.Store(false)
		g.confirmByPeers()
	}()
}

// confirmByPeers asks some peers to confirm the records, those first that read the store.
func (g *Gateway) confirmByPeers() {
	readers, others := g.proofSources()
	for _, list := range [][]blackboard.Member{readers, others} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	peers := append(readers, others...)
	var asked sync.WaitGroup
	for _, m := range peers[:min(len(peers), maxConfirmingPeers)] {
		asked.Go(func() { g.confirmByPeer(m) })
	}
	asked.Wait()
}

// confirmByPeer asks a peer to confirm the records.
func (g *Gateway) confirmByPeer(m blackboard.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmByPeerTimeout)
	defer cancel()
	begunAt := time.Now()
	reply, err := g.links.ConfirmRecords(ctx, m.Address, g.mirror.Version())
	if err != nil {
		g.log.Info("asking a peer to confirm the records failed", "peer", m.Name, "took", time.Since(begunAt), "error", err)
		return
	}
	g.mergeFromPeer(reply)
	g.log.Debug("a peer was asked to confirm the records", "peer", m.Name, "version", reply.Version(), "age", reply.Age, "took", time.Since(begunAt))
}
