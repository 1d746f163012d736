package peer

import (
	"context"
	"net/netip"

	"lentilward.org/lentilward/pace"
)

// paceBody has an instance's reports about servers that are paced.
type paceBody struct {
	Reports []pace.Report `cbor:"reports"`
}

// paceReply has the state of each server of a paceBody, in their order.
type paceReply struct {
	States []pace.State `cbor:"states"`
}

// ReportPace sends reports about paced servers to the peer that adds them up, and returns
// the states that it answers.
func (l *Links) ReportPace(ctx context.Context, address netip.AddrPort, reports []pace.Report) ([]pace.State, error) {
	var reply paceReply
	err := l.call(ctx, address, kindPace, paceBody{Reports: reports}, &reply)
	return reply.States, err
}
