package main

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/platform"
)

// Guards against a key that is admitted again because the store has lost its withdrawal, by
// an instance that knew of it at any time and by others once the bound has passed, and
// against valid keys that are not served again.
func TestKeyWithdrawnBeforeAReturnStaysRefused(t *testing.T) {
	for _, instances := range []int{4, 31} {
		for _, ahead := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
			for _, delay := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
				if instances > 4 && (ahead != 500*time.Millisecond || delay != 3*time.Second) {
					continue
				}
				t.Run(fmt.Sprintf("%d/withdrawn %v before/written %v after", instances, ahead, delay), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runKeyReturn(t, instances, ahead, delay) })
				})
			}
		}
	}
}

func runKeyReturn(t *testing.T, instances int, ahead, delay time.Duration) {
	p := newKeyPlatform(t)
	p.publishKeys(t, "k-stays", "k-goes")
	fleet := p.startKeyFleet(t, instances)
	older := p.store.TakeCopy()
	time.Sleep(time.Second)
	// One instance does not hear of the withdrawal until it is written again.
	p.network.isolate(instanceHost(2))
	p.publishKeys(t, "k-stays")
	goneAt := time.Now()
	withdrawal, err := p.client.Get(p.ctx, platform.ConfigurationKey)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(ahead)
	p.store.StartOutage(returnOutage, false, false)
	time.AfterFunc(returnOutage, func() { p.store.Restore(older) })
	time.AfterFunc(returnOutage+100*time.Millisecond, func() { p.network.rejoin(instanceHost(2)) })
	var writtenAt time.Time
	refused := make(map[int]bool)
	for time.Since(goneAt) < 25*time.Second {
		time.Sleep(50 * time.Millisecond)
		if writtenAt.IsZero() && time.Since(goneAt) > ahead+returnOutage+delay {
			p.write(t, platform.ConfigurationKey, string(withdrawal.Value))
			writtenAt = time.Now()
		}
		for i, g := range fleet {
			got := callWithKeys(g, "/a/", "k-goes").Code
			if got == http.StatusOK && (refused[i] || time.Since(goneAt) > revokeBound) {
				t.Fatalf("instance %d: runs a request with a key that was withdrawn %v ago, known: %v, proof age %v", i+1, time.Since(goneAt), refused[i], g.fence.Age())
			}
			refused[i] = refused[i] || got == http.StatusUnauthorized
			stays := callWithKeys(g, "/a/", "k-stays").Code
			if stays == http.StatusUnauthorized || stays != http.StatusOK && !writtenAt.IsZero() && time.Since(writtenAt) > recoveryPeriod {
				t.Fatalf("instance %d: status %d for a valid key, proof age %v", i+1, stays, g.fence.Age())
			}
		}
	}
	for i := range fleet {
		if !refused[i] {
			t.Errorf("instance %d does not know that the key was withdrawn", i+1)
		}
	}
}

// Guards against a key that was withdrawn and is accepted by an instance that starts while the
// store has only a copy from before the withdrawal; peers know better than the store.
func TestInstanceThatStartsAfterAReturnRefusesWithdrawnKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newKeyPlatform(t)
		p.publishKeys(t, "k-stays", "k-goes")
		fleet := p.startKeyFleet(t, 4)
		older := p.store.TakeCopy()
		goneAt := p.withdraw(t, "k-stays")
		time.Sleep(time.Second)
		p.store.StartOutage(returnOutage, false, false)
		time.Sleep(returnOutage)
		p.store.Restore(older)
		time.Sleep(200 * time.Millisecond)
		started := p.startInstance(t, 20, fleet[0].options.Load().Listen.Peers)
		time.Sleep(time.Until(goneAt.Add(revokeBound)))
		for range 50 {
			for i, g := range append(fleet, started) {
				if got := callWithKeys(g, "/a/", "k-goes").Code; got == http.StatusOK {
					t.Fatalf("instance %d: status %d for a key that was withdrawn %v ago", i+1, got, time.Since(goneAt))
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		p.withdraw(t, "k-stays")
		time.Sleep(recoveryPeriod)
		for i, g := range append(fleet, started) {
			if got := callWithKeys(g, "/a/", "k-stays").Code; got != http.StatusOK {
				t.Errorf("instance %d: status %d for a valid key", i+1, got)
			}
		}
	})
}
