package main

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/platform"
)

// refuseRequest lets a request crash so many servers that it is refused.
func refuseRequest(p *returnPlatform, g *Gateway, fingerprint uint64) {
	for process := range uint64(4) {
		g.suspects.RecordLoss(p.ctx, fingerprint, process, fmt.Sprint(process), time.Now())
	}
	time.Sleep(2 * time.Second)
}

// Guards against refused requests that nothing records any more after the store has come
// back from a copy without them, and which crash servers again after a start of all
// instances; and against a request that the copy still has as refused although it has run
// well since.
func TestPoisonRecordsAreCorrectedAfterStoreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newReturnPlatform(t, 4)
		const cleared, refused = 7, 8
		refuseRequest(p, p.fleet[1], cleared)
		older := p.store.TakeCopy()
		p.fleet[2].suspects.RecordRun(p.ctx, cleared, time.Now())
		refuseRequest(p, p.fleet[1], refused)
		calm := p.store.Counts().Writes
		time.Sleep(time.Minute)
		calm = p.store.Counts().Writes - calm
		for range 2 {
			p.returnFrom(older)
			time.Sleep(rewriteDelay)
			p.rewrite(t)
		}
		before := p.store.Counts().Writes
		started := p.startInstance(t, 5, netip.MustParseAddrPort("10.0.0.1:8102"))
		time.Sleep(time.Minute)
		if n := p.store.Counts().Writes - before; calm > 0 || n > 20 {
			t.Errorf("%d writes in the minute after the return, %d in one without", n, calm)
		}
		if _, err := p.client.Get(p.ctx, poisonKey(refused)); err != nil {
			t.Errorf("record of a refused request: %v", err)
		}
		if _, err := p.client.Get(p.ctx, poisonKey(cleared)); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("record of a request that has run well: error %v, want none", err)
		}
		for i, g := range append(p.fleet, started) {
			if !g.suspects.IsRefused(refused) || g.suspects.IsRefused(cleared) {
				t.Errorf("instance %d: refused %v, want true; the one that has run well %v, want false", i+1,
					g.suspects.IsRefused(refused), g.suspects.IsRefused(cleared))
			}
		}
	})
}

// Guards against instances that write the records of many refused requests at once after a
// return of the store, and use up its limit of writes.
func TestPoisonRecordsAreWrittenAgainSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newReturnPlatform(t, 3)
		older := p.store.TakeCopy()
		const requests, maxPerSecond = 300, 50
		for fingerprint := range uint64(requests) {
			for process := range uint64(4) {
				p.fleet[0].suspects.RecordLoss(p.ctx, fingerprint, process, fmt.Sprint(process), time.Now())
			}
			time.Sleep(20 * time.Millisecond)
		}
		p.returnFrom(older)
		time.Sleep(rewriteDelay)
		p.rewrite(t)
		for range 60 {
			before := p.store.Counts().Writes
			time.Sleep(time.Second)
			if n := p.store.Counts().Writes - before; n > maxPerSecond {
				t.Errorf("%d writes in a second", n)
			}
		}
		recorded := 0
		for fingerprint := range uint64(requests) {
			if _, err := p.client.Get(p.ctx, poisonKey(fingerprint)); err == nil {
				recorded++
			}
		}
		if recorded != requests {
			t.Errorf("%d of %d refused requests are recorded a minute after the return", recorded, requests)
		}
	})
}
