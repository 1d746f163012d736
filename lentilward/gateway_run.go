package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/platform"
)

// Run serves until stop ends, then stops gracefully.
func (g *Gateway) Run(life, stop context.Context) error {
	o := g.options.Load()
	g.log.Info("started", "data-centre", o.DataCentre, "callers", o.Listen.HTTP, "peers", o.Listen.Peers, "seeds", o.Peers,
		"store", o.Store.Address)
	callers := g.callers.HTTP()
	peers := &http.Server{Handler: g.peers.Handler(), ReadHeaderTimeout: headerTimeout}
	readiness := &http.Server{Handler: http.HandlerFunc(g.readiness), ReadHeaderTimeout: headerTimeout}
	monitors := &http.Server{Handler: monitor.Handler(g.board, g.metrics), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 4)
	for _, l := range []struct {
		address netip.AddrPort
		server  *http.Server
	}{
		{g.options.Load().Listen.HTTP, callers},
		{g.options.Load().Listen.Readiness, readiness},
		{g.options.Load().Listen.Peers, peers},
		{g.options.Load().Listen.Monitor, monitors},
	} {
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return merry.Wrap(err)
		}
		go func() { failed <- l.server.Serve(listener) }()
	}
	enlisted, leave := context.WithCancel(life)
	defer leave()
	go g.directory.Run(life)
	go g.prober.Run(life)
	go g.follower.Run(life)
	go g.enlist(enlisted)
	go g.keeper.Run(life)
	go g.introduce(life)
	go g.awaitReady(life)
	select {
	case err := <-failed:
		return merry.Wrap(err)
	case <-stop.Done():
	}
	leave()
	return g.stop(callers)
}

// enlist keeps this instance in the store's list while it reads the store.
func (g *Gateway) enlist(ctx context.Context) {
	for !g.reads() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(enlistPeriod):
		}
	}
	g.enlister.Run(ctx)
}

// stop lets the balancer notice, then lets the requests in flight end.
func (g *Gateway) stop(callers *http.Server) error {
	begin := time.Now()
	g.setPhase(blackboard.Stopping)
	g.callers.Stop()
	g.table.Leave()
	g.prober.Nudge()
	grace := time.Duration(g.options.Load().Stop.Grace)
	time.Sleep(min(rotationDelay, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(grace-exitMargin))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		g.log.Warn("requests were still in flight at the end of the grace period", "error", err)
		return nil
	}
	g.log.Info("stopped", "took", time.Since(begin))
	return nil
}

// readiness tells the balancer whether this instance takes callers.
func (g *Gateway) readiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadinessPath {
		http.NotFound(w, r)
		return
	}
	if phase := g.board.Own.Load().Phase; phase != blackboard.Serving {
		http.Error(w, phase.String(), http.StatusServiceUnavailable)
	}
}

// awaitReady takes callers once a configuration is known.
func (g *Gateway) awaitReady(ctx context.Context) {
	for {
		changed := g.directory.Current.Changed()
		if g.directory.Current.Load() != nil {
			g.setPhase(blackboard.Serving)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) setPhase(p blackboard.Phase) {
	own := *g.board.Own.Load()
	if own.Phase >= p {
		return
	}
	own.Phase = p
	g.board.Own.Store(&own)
	g.log.Info("phase", "phase", p)
}
