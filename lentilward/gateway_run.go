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

// Run serves until stopCtx ends, then shuts down gracefully. The components run
// until processCtx ends. It returns an error if an address cannot be listened on
// or a server fails.
func (g *Gateway) Run(processCtx, stopCtx context.Context) error {
	o := g.options.Load()
	g.log.Info("started", "data-centre", o.DataCentre, "callers", o.Listen.HTTP, "peers", o.Listen.Peers, "seeds", o.Peers,
		"store", o.Store.Address)
	callers := g.callers.HTTP()
	peers := &http.Server{Handler: g.peers.Handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	readiness := &http.Server{Handler: http.HandlerFunc(g.serveReadiness), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	monitors := &http.Server{
		Handler:           g.serveExplanations(g.serveRollouts(monitor.WithTenants(monitor.Handler(g.board, g.metrics), g.allowances.status))),
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	failed := make(chan error, 4)
	callerListener, err := g.listen(o.Listen.HTTP)
	if err != nil {
		return merry.Wrap(err)
	}
	go func() { failed <- callers.Serve(g.callers.Limit(callerListener)) }()
	for _, l := range []struct {
		address netip.AddrPort
		server  *http.Server
	}{
		{g.options.Load().Listen.Readiness, readiness},
		{g.options.Load().Listen.Peers, peers},
		{g.options.Load().Listen.Monitor, monitors},
	} {
		listener, err := g.listen(l.address)
		if err != nil {
			return merry.Wrap(err)
		}
		go func() { failed <- l.server.Serve(listener) }()
	}
	registered, deregister := context.WithCancel(processCtx)
	defer deregister()
	go g.directory.Run(processCtx)
	go g.prober.Run(processCtx)
	go g.follower.Run(processCtx)
	go g.keepProven(processCtx)
	go g.keepRegistered(registered)
	go g.poisonWriter.Run(processCtx)
	go g.restorePoisonRecords(processCtx)
	go g.allowances.run(processCtx)
	go g.serverLimits.run(processCtx)
	go g.runPaces(processCtx)
	go g.transferState(processCtx)
	go g.awaitReady(processCtx)
	g.startRollouts(processCtx)
	go g.holders.keepRecord(processCtx)
	select {
	case err := <-failed:
		return merry.Wrap(err)
	case <-stopCtx.Done():
	}
	deregister()
	return g.shutDown(callerListener)
}

func listenTCP(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// keepRegistered waits until this instance reads the store, then keeps it
// registered in the store's list of instances until the context ends.
func (g *Gateway) keepRegistered(ctx context.Context) {
	for !g.readsStore() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(registrationCheckInterval):
		}
	}
	g.registrar.Run(ctx)
}

// shutDown reports the instance as not ready, waits until the load balancer has
// taken it out of rotation, and then waits for the requests in flight. All of them
// get their final answers lastAnswerMargin before the end of the grace period.
func (g *Gateway) shutDown(listener net.Listener) error {
	started := time.Now()
	grace := time.Duration(g.options.Load().Stop.Grace)
	lastAnswer := started.Add(grace - min(lastAnswerMargin, grace/4))
	g.setPhase(blackboard.Stopping)
	g.engine.Stop(lastAnswer)
	g.callers.Stop(lastAnswer)
	g.table.Leave()
	g.prober.GossipNow()
	time.Sleep(min(platformShutdownDelay, grace/2))
	if err := listener.Close(); err != nil {
		g.log.Warn("closing the listener for callers failed", "error", err)
	}
	// Open connections are served until the process ends. Neither idle connections are
	// closed nor is Shutdown called, since both may close a connection whose next request
	// has just been read.
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-exitMargin))
	defer cancel()
	if err := g.callers.AwaitIdle(ctx, stopQuietPeriod); err != nil {
		g.log.Warn("grace period ended with requests in flight", "requests", g.callers.InFlight(), "error", err)
		return nil
	}
	g.log.Info("stopped", "took", time.Since(started))
	return nil
}

// serveReadiness answers the readiness checks of the load balancer: 200 while
// the instance serves callers, otherwise 503 and the phase.
func (g *Gateway) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadinessPath {
		http.NotFound(w, r)
		return
	}
	if phase := g.board.LocalInstance.Load().Phase; phase != blackboard.Serving {
		http.Error(w, phase.String(), http.StatusServiceUnavailable)
	}
}

// awaitReady starts serving callers once there is a configuration.
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
	local := *g.board.LocalInstance.Load()
	if local.Phase >= p {
		return
	}
	local.Phase = p
	g.board.LocalInstance.Store(&local)
	g.log.Info("phase changed", "phase", p)
}
