package main

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/scatter"
)

// pickGatherer picks a peer as gatherer, in one of the data centres that have the most
// shards of those with an alive peer. shards maps data centres to numbers of shards. Of
// each data centre it uses the same few peers, so that their connections stay in use,
// and any other that is connected if none of these is. It returns the peer's address
// and data centre, and false if there is no such peer.
func (g *Gateway) pickGatherer(shards map[string]int) (netip.AddrPort, string, bool) {
	members := g.board.Members.Load()
	candidates := lo.Filter(members.AlivePeers(), func(m blackboard.Member, _ int) bool { return shards[m.DataCentre] > 0 })
	maxShards := lo.Max(lo.Map(candidates, func(m blackboard.Member, _ int) int { return shards[m.DataCentre] }))
	candidates = lo.Filter(candidates, func(m blackboard.Member, _ int) bool {
		return float64(shards[m.DataCentre]) >= minGathererShare*float64(maxShards)
	})
	slices.SortFunc(candidates, func(a, b blackboard.Member) int {
		return cmp.Compare(gathererScore(members.Self, a.Name), gathererScore(members.Self, b.Name))
	})
	used := make(map[string]int)
	var preferred, others []blackboard.Member
	for _, m := range candidates {
		connected := g.links.CanGather(m.Address)
		if used[m.DataCentre] < gatherersPerDataCentre {
			used[m.DataCentre]++
			if connected {
				preferred = append(preferred, m)
			} else {
				g.connectPeer(m.Address)
			}
		} else if connected {
			others = append(others, m)
		}
	}
	if len(preferred) == 0 {
		preferred = others
	}
	if len(preferred) == 0 {
		return netip.AddrPort{}, "", false
	}
	m := preferred[rand.IntN(len(preferred))]
	return m.Address, m.DataCentre, true
}

// gathererScore orders the peers that may gather for an instance, differently for each.
func gathererScore(self, peer string) uint64 { return xxhash.Sum64String(self + " " + peer) }

// connectPeer pings a peer in the background, which opens a connection if there is
// none and gives up one that has gone silent. It does nothing while another such ping
// is in flight.
func (g *Gateway) connectPeer(address netip.AddrPort) {
	if _, running := g.connecting.LoadOrStore(address, true); running {
		return
	}
	go func() {
		defer g.connecting.Delete(address)
		ctx, cancel := context.WithTimeout(context.Background(), connectPeerTimeout)
		defer cancel()
		if _, err := g.links.Ping(ctx, address, g.table.NextGossip()); err != nil {
			g.log.Debug("connecting to a peer failed", "peer", address, "error", err)
		}
	}()
}

// checkPeers pings all peers to which a connection is open, and checks the store, at most once
// in a peerCheckInterval: a fault that silences one connection often silences others.
func (g *Gateway) checkPeers() {
	last, now := g.peersCheckedAt.Load(), time.Now()
	if last != nil && now.Sub(*last) < peerCheckInterval || !g.peersCheckedAt.CompareAndSwap(last, &now) {
		return
	}
	for _, address := range g.links.Connected() {
		g.connectPeer(address)
	}
	g.checkStore()
}

// dialPeer opens a connection to a peer that ends once it has gone silent.
func dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := conn.LimitSilence(c, conn.UnacknowledgedTimeout); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// gather runs part of a search for a peer. It does nothing if this instance does
// not know the route or one of the services.
func (g *Gateway) gather(ctx context.Context, request scatter.Gather, emit func(scatter.Partial)) {
	snapshot := g.directory.Current.Load()
	if snapshot == nil {
		return
	}
	state := snapshot.Routes[request.Route]
	services := make([]*balance.Service, 0, len(request.Services))
	for _, name := range request.Services {
		if s := snapshot.Services[name]; s != nil {
			services = append(services, s)
		}
	}
	if state == nil || len(services) != len(request.Services) {
		g.log.Info("refusing to gather for a peer: route or service unknown", "request-id", request.Request.ID, "route", request.Route)
		return
	}
	if request.Handover == nil {
		g.log.Debug("gathering for a peer", "request-id", request.Request.ID, "route", request.Route, "parts", len(services),
			"version", snapshot.Configuration.Version, "records", g.callers.RecordVersion(), "configuration-age", g.follower.Age())
	} else {
		g.holders.run.Add(1)
		g.log.Debug("running a search for a peer", "request-id", request.Request.ID, "route", request.Route, "parts", len(services),
			"home", request.Handover.Home, "due-in", request.Handover.AnswerIn, "attempts", request.Handover.Attempts)
	}
	g.engine.Gather(ctx, request, state, snapshot.Admissions[request.Route], services, emit)
}
