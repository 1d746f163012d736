package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/platform"
)

// newTestSoak returns a soak with a store, a server and one instance, whose HTTP face is the
// given handler.
func newTestSoak(t *testing.T, handler http.HandlerFunc) (*soak, *instance) {
	t.Helper()
	instanceFace := httptest.NewServer(handler)
	t.Cleanup(instanceFace.Close)
	s := &soak{ledger: newLedger(), store: standin.New(1), log: io.Discard}
	storeFace := httptest.NewServer(s.store.Handler())
	t.Cleanup(storeFace.Close)
	s.client = platform.NewStore(netip.MustParseAddrPort(storeFace.Listener.Addr().String()), storeFace.Client())
	i := &instance{name: "instance-1", httpAddress: instanceFace.Listener.Addr().String(), process: &os.Process{}}
	s.instances = []*instance{i}
	s.dataCentres = []*dataCentre{{name: "north"}, {name: "south"}}
	target, err := newServer("i-s1-0", "s1", s.dataCentres[0], s.ledger, s.inTouch)
	if err != nil {
		t.Fatal(err)
	}
	s.servers = []*server{target}
	return s, i
}

// Guards against a soak that does not notice a change that is not in force in time, or an
// older version that comes back, and against findings while a bound does not hold.
func TestVersionThatIsNotInForceIsFinding(t *testing.T) {
	for _, play := range []struct {
		name string
		// prepare is called after version 3 was acknowledged longer than the bound ago.
		prepare func(*soak, *instance)
		want    string
	}{
		{"late", func(*soak, *instance) {}, "after its acknowledgement"},
		{"instance disturbed", func(_ *soak, i *instance) { i.disturb(0) }, ""},
		{"instance restarting", func(_ *soak, i *instance) { i.restarting.Store(true) }, ""},
		{"store disturbed", func(s *soak, _ *instance) { s.storeCalm.disturb(0) }, ""},
		{"lost by the store", func(s *soak, _ *instance) { s.operator.acks = nil }, ""},
		{"reverted", func(s *soak, i *instance) {
			s.storeCalm.disturb(0)
			i.served = []ack{{3, time.Now().Add(-2 * revertSlack)}}
		}, "although one was handled by version 3"},
		{"reverted beside a disturbance", func(_ *soak, i *instance) {
			i.disturb(0)
			i.served = []ack{{3, time.Now().Add(-2 * revertSlack)}}
		}, ""},
		{"reverted long after a disturbance", func(_ *soak, i *instance) {
			i.disturb(0)
			i.served = []ack{{3, time.Now().Add(-2 * disturbedRevertSlack)}}
		}, "although one was handled by version 3"},
	} {
		t.Run(play.name, func(t *testing.T) {
			s, i := newTestSoak(t, http.NotFound)
			s.operator.newest = 3
			s.operator.acks = []ack{{3, time.Now().Add(-maxDrainDelay - time.Second)}}
			play.prepare(s, i)
			s.sendToVersion(http.DefaultClient, i, "c1-1")
			got := strings.Join(s.ledger.findings, "\n")
			if (got != "") != (play.want != "") || !strings.Contains(got, play.want) {
				t.Errorf("findings %q, want %q", got, play.want)
			}
		})
	}
}

// Guards against a soak that passes over requests to a server that must get none, or that
// reports those which the rules exempt.
func TestRequestToBarredServerIsFinding(t *testing.T) {
	for _, play := range []struct {
		name    string
		prepare func(*soak, *server)
		found   bool
	}{
		{"in service", func(*soak, *server) {}, false},
		{"draining", func(_ *soak, b *server) { b.drain.since.Store(time.Now().Add(-2 * maxDrainDelay).UnixNano()) }, true},
		{"draining since a moment", func(_ *soak, b *server) { b.drain.acknowledge() }, false},
		{"withdrawn", func(_ *soak, b *server) {
			b.dataCentre.withdrawal.since.Store(time.Now().Add(-2 * maxWithdrawalDelay).UnixNano())
		}, true},
		{"draining, store disturbed", func(s *soak, b *server) {
			s.storeCalm.disturb(0)
			b.drain.since.Store(time.Now().Add(-2 * maxDrainDelay).UnixNano())
		}, false},
		{"draining, link disturbed", func(_ *soak, b *server) {
			b.link.disturb(0)
			b.drain.since.Store(time.Now().Add(-2 * maxDrainDelay).UnixNano())
		}, false},
	} {
		t.Run(play.name, func(t *testing.T) {
			s, _ := newTestSoak(t, http.NotFound)
			target := s.servers[0]
			play.prepare(s, target)
			r := httptest.NewRequest(http.MethodGet, "/all/x", nil)
			r.Header.Set(standin.ExpectedInstanceHeader, target.id)
			target.ServeHTTP(httptest.NewRecorder(), r)
			if got := len(s.ledger.findings) > 0; got != play.found {
				t.Errorf("findings %q, want some: %v", s.ledger.findings, play.found)
			}
		})
	}
}

// Guards against changes that are lost or undone in the soak itself when the store returns
// from a copy.
func TestLastAcknowledgedStateIsWrittenAgain(t *testing.T) {
	s, _ := newTestSoak(t, http.NotFound)
	target, north, south := s.servers[0], s.dataCentres[0], s.dataCentres[1]
	s.publishConfiguration()
	s.registerServer(target, false)
	s.setWithdrawn(north, true)
	older := s.store.TakeCopy()
	s.publishConfiguration()
	s.registerServer(target, true)
	s.setWithdrawn(north, false)
	s.setWithdrawn(south, true)
	s.store.Restore(older)
	s.noteLoss(time.Millisecond)
	if required, _ := s.operator.requiredAt(time.Now().Add(time.Hour)); required != 0 {
		t.Errorf("version %d is required although the store has lost it", required)
	}
	s.sendHeartbeats(target, time.Now().Add(2*heartbeatInterval))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for key, want := range map[string]string{
		standin.ConfigurationKey:              `"version":6`,
		standin.ServerKey(target.id):          `"state":"draining"`,
		platform.WithdrawnPrefix + south.name: "{}",
	} {
		i, err := s.client.Get(ctx, key)
		if err != nil || !strings.Contains(string(i.Value), want) {
			t.Errorf("%s: %s, %v, want %s", key, i.Value, err, want)
		}
	}
	if i, err := s.client.Get(ctx, platform.WithdrawnPrefix+north.name); err == nil {
		t.Errorf("a withdrawal that was lifted is back: %s", i.Value)
	}
	if target.sequence < 3 || target.drain.age() == 0 {
		t.Errorf("sequence %d, draining for %v, want an acknowledgement of a later heartbeat", target.sequence, target.drain.age())
	}
}
