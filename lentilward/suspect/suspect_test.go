package suspect

import (
	"context"
	"testing"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

// newConnectedLists returns the lists of two instances that send each other
// their updates.
func newConnectedLists() (a, b *List) {
	a, b = New(blackboard.New(blackboard.LocalInstance{})), New(blackboard.New(blackboard.LocalInstance{}))
	a.Broadcast = func(_ context.Context, s []blackboard.SuspectRequest) { b.Merge(s) }
	b.Broadcast = func(_ context.Context, s []blackboard.SuspectRequest) { a.Merge(s) }
	return a, b
}

// A request is refused at every instance once it has arrived twice and three
// backend servers in all were lost with it.
func TestPoisonRequestIsRefusedAtEveryInstance(t *testing.T) {
	a, b := newConnectedLists()
	fingerprint := RequestFingerprint(&domain.Request{Method: "GET", Host: "h", Target: "/x"})
	a.RecordCrashes(t.Context(), fingerprint, 2)
	if a.IsPoison(fingerprint) || b.IsPoison(fingerprint) {
		t.Fatal("refused after one request")
	}
	b.RecordCrashes(t.Context(), fingerprint, 1)
	if !a.IsPoison(fingerprint) || !b.IsPoison(fingerprint) {
		t.Fatal("not refused after two requests and three lost servers")
	}
}

// A request that failed once may only have been in flight on the same servers
// as a poison request, however many were lost, so it is not refused yet.
func TestRequestLostOnceIsNotPoison(t *testing.T) {
	a, _ := newConnectedLists()
	a.RecordCrashes(t.Context(), 7, 20)
	if a.IsPoison(7) {
		t.Fatal("refused after one request")
	}
}

func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	seen := make(map[uint64]bool)
	for _, r := range []domain.Request{
		{Method: "GET", Host: "h", Target: "/x"},
		{Method: "POST", Host: "h", Target: "/x"},
		{Method: "GET", Host: "g", Target: "/x"},
		{Method: "GET", Host: "h", Target: "/x?"},
		{Method: "GET", Host: "h", Target: "/x", Body: []byte("b")},
	} {
		if fingerprint := RequestFingerprint(&r); seen[fingerprint] {
			t.Errorf("%+v has the fingerprint of another request", r)
		} else {
			seen[fingerprint] = true
		}
	}
	sameButID := &domain.Request{ID: "other", Method: "GET", Host: "h", Target: "/x"}
	if !seen[RequestFingerprint(sameButID)] {
		t.Error("a different id changes the fingerprint")
	}
}
