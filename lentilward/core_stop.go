package main

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"lentilward.org/lentilward/blackboard"
)

// shutDown refuses new requests, announces to the peers that this instance leaves, and waits
// for the requests in flight. All of them get their final answers lastAnswerMargin before the
// end of the grace period.
func (c *Core) shutDown(callers, operators *grpc.Server) {
	started := time.Now()
	grace := time.Duration(c.options.Stop.Grace)
	c.setPhase(blackboard.Stopping)
	c.callers.Stop(started.Add(grace - min(lastAnswerMargin, grace/4)))
	c.table.Leave()
	c.prober.GossipNow()
	time.Sleep(min(shutdownDelay, grace/4))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-min(exitMargin, grace/8)))
	defer cancel()
	if err := stopServers(ctx, callers, operators); err != nil {
		c.log.Warn("grace period ended with requests in flight; their connections were closed", "error", err)
	}
	if err := c.callers.AwaitClaims(ctx); err != nil {
		c.log.Warn("grace period ended before all claims were updated", "error", err)
	}
	c.log.Info("stopped", "took", time.Since(started))
}

// stopServers stops servers at the same time and waits for their requests. If the context
// ends first, it closes the connections that are left and returns the context's error.
func stopServers(ctx context.Context, servers ...*grpc.Server) error {
	var pending sync.WaitGroup
	for _, s := range servers {
		pending.Go(s.GracefulStop)
	}
	done := make(chan struct{})
	go func() {
		pending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	for _, s := range servers {
		s.Stop()
	}
	return ctx.Err()
}
