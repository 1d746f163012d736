package peer

import (
	"context"
	"net/netip"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/fleet"
	"lentilward.org/lentilward/member"
)

// suspectTimeout bounds how long a request waits until its peers know of a
// query that servers were lost with.
const suspectTimeout = 100 * time.Millisecond

// Ping probes a peer and returns its gossip.
func (l *Links) Ping(ctx context.Context, address netip.AddrPort, g member.Gossip) (member.Gossip, error) {
	var answer member.Gossip
	if err := l.call(ctx, address, kindPing, g, &answer); err != nil {
		return answer, err
	}
	return answer, nil
}

// PingVia lets a helper probe the target.
func (l *Links) PingVia(ctx context.Context, helper, target netip.AddrPort) error {
	return l.call(ctx, helper, kindPingVia, pingViaBody{Target: target}, nil)
}

// Delta asks a peer for what is newer than a revision.
func (l *Links) Delta(ctx context.Context, address netip.AddrPort, have uint64) (*blackboard.Delta, error) {
	var d blackboard.Delta
	if err := l.call(ctx, address, kindConfig, configBody{Have: have}, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

// Records asks a peer for what is newer than a revision.
func (l *Links) Records(ctx context.Context, address netip.AddrPort, since uint64) (Knowledge, error) {
	var known Knowledge
	err := l.call(ctx, address, kindRecords, recordsBody{Since: since}, &known)
	return known, err
}

// TellSuspects tells peers of suspects and waits a short time until all know.
func (l *Links) TellSuspects(ctx context.Context, peers []blackboard.Member, suspects []blackboard.Suspect) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	done := make(chan struct{}, len(peers))
	for _, p := range peers {
		go func() {
			l.call(ctx, p.Address, kindSuspect, suspectBody{Suspects: suspects}, nil)
			done <- struct{}{}
		}()
	}
	for range peers {
		<-done
	}
}

// Warmth asks a peer which of the servers it knows to be warm.
func (l *Links) Warmth(ctx context.Context, address netip.AddrPort, question []fleet.Warmth) ([]fleet.Warmth, error) {
	var reply warmthBody
	if err := l.call(ctx, address, kindWarmth, warmthBody{Servers: question}, &reply); err != nil {
		return nil, err
	}
	return reply.Servers, nil
}
