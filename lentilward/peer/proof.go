package peer

import (
	"context"
	"errors"
	"net/netip"

	"lentilward.org/lentilward/proof"
)

// kindProof asks for the proof of a peer; the body is a proof.Question and the reply's a
// proof.Answer.
const kindProof kind = "proof"

// FetchProof asks a peer for its proof.
func (l *Links) FetchProof(ctx context.Context, address netip.AddrPort, q proof.Question) (proof.Answer, error) {
	var reply proof.Answer
	err := l.call(ctx, address, kindProof, q, &reply)
	return reply, err
}

// errNoProof is the reply to a question to an instance that keeps no proof.
var errNoProof = errors.New("instance keeps no proof")

func noProof(context.Context, proof.Question) (proof.Answer, error) {
	return proof.Answer{}, errNoProof
}
