package peer

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/fleet"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/suspect"
)

// suspectReportTimeout bounds how long ReportSuspects waits for the replies of
// peers, and with that how long it may delay a request.
const suspectReportTimeout = 100 * time.Millisecond

// Ping sends gossip to a peer as a probe and returns the gossip in its reply. A
// peer replies at once, so a connection on which it sends nothing until the
// deadline is given up.
func (l *Links) Ping(ctx context.Context, address netip.AddrPort, g member.Gossip) (member.Gossip, error) {
	var reply member.Gossip
	c, err := l.getOrDial(ctx, address)
	if err != nil {
		return reply, err
	}
	sentAt := time.Now()
	if err := c.call(ctx, kindPing, g, &reply); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			l.retire(address, c, sentAt)
		}
		return reply, err
	}
	return reply, nil
}

// PingVia asks the peer at helper to ping the target.
func (l *Links) PingVia(ctx context.Context, helper, target netip.AddrPort) error {
	return l.call(ctx, helper, kindPingVia, pingViaBody{Target: target}, nil)
}

// FetchConfig requests the configuration changes after a revision from a peer.
func (l *Links) FetchConfig(ctx context.Context, address netip.AddrPort, since uint64) (*blackboard.Delta, error) {
	var d blackboard.Delta
	if err := l.call(ctx, address, kindConfig, configBody{Since: since}, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

// FetchRecords requests from a peer the records changed after a revision, and its
// suspect requests.
func (l *Links) FetchRecords(ctx context.Context, address netip.AddrPort, since blackboard.Version) (RecordsReply, error) {
	var reply RecordsReply
	err := l.call(ctx, address, kindRecords, recordsBody{Since: since.Revision, Era: since.Era}, &reply)
	return reply, err
}

// ConfirmRecords is as FetchRecords from a peer that asks the store first whether its records
// are up to date.
func (l *Links) ConfirmRecords(ctx context.Context, address netip.AddrPort, since blackboard.Version) (RecordsReply, error) {
	var reply RecordsReply
	err := l.call(ctx, address, kindRecords, recordsBody{Since: since.Revision, Era: since.Era, Confirm: true}, &reply)
	return reply, err
}

// ReportSuspects reports suspect requests to peers. It returns once all have replied, or
// after suspectReportTimeout, with those that have run well on a peer since.
func (l *Links) ReportSuspects(ctx context.Context, peers []blackboard.Member, suspects []suspect.Report) []suspect.Report {
	ctx, cancel := context.WithTimeout(ctx, suspectReportTimeout)
	defer cancel()
	replies := make(chan []suspect.Report, len(peers))
	for _, p := range peers {
		go func() {
			var reply suspectBody
			l.call(ctx, p.Address, kindSuspect, suspectBody{Suspects: suspects}, &reply)
			replies <- reply.Suspects
		}()
	}
	var ran []suspect.Report
	for range peers {
		ran = append(ran, <-replies...)
	}
	return ran
}

// AskTrial asks a peer whether a refused request may run as a trial of at most the length
// given.
func (l *Links) AskTrial(ctx context.Context, address netip.AddrPort, known suspect.Report, length time.Duration) (suspect.Grant, error) {
	var reply suspect.Grant
	err := l.call(ctx, address, kindTrial, trialBody{Known: known, Length: length}, &reply)
	return reply, err
}

// EndTrial tells a peer that a trial which it has granted has ended.
func (l *Links) EndTrial(ctx context.Context, address netip.AddrPort, known suspect.Report) error {
	return l.call(ctx, address, kindTrial, trialBody{Known: known, Ended: true}, nil)
}

// FetchWarmServers asks a peer which of the servers are warm and returns those.
func (l *Links) FetchWarmServers(ctx context.Context, address netip.AddrPort, servers []fleet.ServerProcess) ([]fleet.ServerProcess, error) {
	var reply warmthBody
	if err := l.call(ctx, address, kindWarmth, warmthBody{Servers: servers}, &reply); err != nil {
		return nil, err
	}
	return reply.Servers, nil
}
