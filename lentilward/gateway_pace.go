package main

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/pace"
)

// connectPaces connects the paces of servers that have just started or recovered.
func (g *Gateway) connectPaces() {
	g.Paced = func() bool { return false }
	g.paces.Paced = func() bool {
		if enabled := g.options.Load().Pace.Enabled; enabled != nil {
			return *enabled
		}
		return g.Paced()
	}
	g.paces.Instances = g.fleet.size
	g.paces.Owner = func(group int) (netip.AddrPort, bool) { return paceOwner(g.board.Members.Load(), group) }
	g.paces.OnStart = func(id, service string, cause pace.Cause) {
		g.log.Info("pace of a backend server started", "id", id, "service", service, "cause", cause)
	}
	g.paces.OnEnd = func(id, service string, weight float64, took time.Duration) {
		g.log.Info("pace of a backend server ended", "id", id, "service", service, "weight", weight, "took", took)
	}
	g.peers.MergePace = func(reports []pace.Report) []pace.State { return g.paces.Merge(reports, time.Now()) }
	g.metrics.RegisterGauge("lentilward_paced_servers", "Backend servers that get less than their usual calls since they have just started or recovered.",
		func() float64 { return float64(g.paces.Len()) })
}

// paceOwner returns the instance that adds up the reports about a group of servers, and
// whether it is this one.
func paceOwner(members *blackboard.Members, group int) (netip.AddrPort, bool) {
	owner, found := members.Owner("pace " + strconv.Itoa(group))
	return owner.Address, !found || owner.Name == members.Self
}

// runPaces reports what is observed of paced servers until the context ends. While none is
// paced it waits.
func (g *Gateway) runPaces(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.paces.Wake():
		}
		// Instances that notice a server at the same time report at different times.
		delay := rand.N(g.paces.Interval())
		for g.paces.Len() > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(delay):
			}
			delay = g.paces.Interval()
			for owner, reports := range g.paces.Tick(time.Now()) {
				go g.reportPace(ctx, owner, reports)
			}
		}
	}
}

// reportPace sends reports to their owner and adopts the states that it answers.
func (g *Gateway) reportPace(ctx context.Context, owner netip.AddrPort, reports []pace.Report) {
	ctx, cancel := context.WithTimeout(ctx, paceReportTimeout)
	defer cancel()
	states, err := g.links.ReportPace(ctx, owner, reports)
	if err != nil {
		g.log.Debug("reporting the pace of backend servers failed", "peer", owner, "servers", len(reports), "error", err)
		g.paces.Restore(reports)
		return
	}
	g.paces.Apply(reports, states, time.Now())
}

// paceReportTimeout bounds the wait for the reply to a report. The next report carries what
// was not confirmed.
const paceReportTimeout = 150 * time.Millisecond
