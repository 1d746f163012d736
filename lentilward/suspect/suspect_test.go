package suspect

import (
	"context"
	"testing"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

// pair returns the lists of two instances that tell each other.
func pair() (a, b *List) {
	a, b = New(blackboard.New(blackboard.Own{})), New(blackboard.New(blackboard.Own{}))
	a.Tell = func(_ context.Context, s []blackboard.Suspect) { b.Merge(s) }
	b.Tell = func(_ context.Context, s []blackboard.Suspect) { a.Merge(s) }
	return a, b
}

// A request that takes servers with it is refused at any instance once it has
// come twice and taken three.
func TestHarmfulRequestIsKnownEverywhere(t *testing.T) {
	a, b := pair()
	x := RequestFingerprint(&domain.Request{Method: "GET", Host: "h", Target: "/x"})
	a.Crashed(t.Context(), x, 2)
	if a.Harmful(x) || b.Harmful(x) {
		t.Fatal("refused after one request")
	}
	b.Crashed(t.Context(), x, 1)
	if !a.Harmful(x) || !b.Harmful(x) {
		t.Fatal("not refused after two requests and three servers")
	}
}

// A request that was in flight beside a harmful one may come again.
func TestOneLostRequestIsNotHarmful(t *testing.T) {
	a, _ := pair()
	a.Crashed(t.Context(), 7, 20)
	if a.Harmful(7) {
		t.Fatal("refused after one request")
	}
}

func TestFingerprintTellsRequestsApart(t *testing.T) {
	seen := make(map[uint64]bool)
	for _, r := range []domain.Request{
		{Method: "GET", Host: "h", Target: "/x"},
		{Method: "POST", Host: "h", Target: "/x"},
		{Method: "GET", Host: "g", Target: "/x"},
		{Method: "GET", Host: "h", Target: "/x?"},
		{Method: "GET", Host: "h", Target: "/x", Body: []byte("b")},
	} {
		if x := RequestFingerprint(&r); seen[x] {
			t.Errorf("%+v has the fingerprint of another", r)
		} else {
			seen[x] = true
		}
	}
	again := &domain.Request{ID: "other", Method: "GET", Host: "h", Target: "/x"}
	if !seen[RequestFingerprint(again)] {
		t.Error("another id changes the fingerprint")
	}
}
