package main

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

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
