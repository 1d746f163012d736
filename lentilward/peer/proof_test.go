package peer

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/proof"
	"lentilward.org/lentilward/scatter"
	"lentilward.org/schema/domain"
)

// Guards against a question or an answer that loses a field on the way, an age below zero
// above all, and against an instance without a proof that seems to have one.
func TestProofTravelsBetweenInstances(t *testing.T) {
	s, server := newLimitedServer(t, nil)
	l := NewLinks(&Traffic{})
	defer l.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	question, answer := proof.Question{Age: 3 * time.Second, Wait: time.Second}, proof.Answer{Revision: 7, Age: -time.Second}
	if got, err := l.FetchProof(t.Context(), address, question); err == nil {
		t.Errorf("%+v from an instance that keeps no proof", got)
	}
	s.Proof = func(_ context.Context, q proof.Question) (proof.Answer, error) {
		if q != question {
			t.Errorf("question %+v", q)
		}
		return answer, nil
	}
	if got, err := l.FetchProof(t.Context(), address, question); err != nil || got != answer {
		t.Errorf("%+v, %v", got, err)
	}
}

// Guards against a key, or its hash, in what a gatherer gets.
func TestGatherHasNoKeys(t *testing.T) {
	hash := domain.HashKey("k1")
	data, err := cbor.Marshal(scatter.Gather{Request: &domain.Request{ID: "q", Keys: []domain.KeyHash{hash}}})
	if err != nil || strings.Contains(string(data), string(hash[:])) || strings.Contains(string(data), "Keys") {
		t.Fatalf("%q, %v", data, err)
	}
}
