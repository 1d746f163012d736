package peer

import (
	"context"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilward/rollout"
)

const (
	kindRolloutReport kind = "rollout-report"
	kindRolloutStop   kind = "rollout-stop"
)

// errNoRollouts is returned to peers that report rollouts to an instance whose settings
// have none.
var errNoRollouts = merry.Sentinel("rollouts are not enabled")

// rolloutReportBody has reports on several rollouts of the same controller; the reply is a
// rolloutReplyBody with a reply for each.
type rolloutReportBody struct {
	Reports []rollout.Report `cbor:"reports"`
}

type rolloutReplyBody struct {
	Replies []rollout.Reply `cbor:"replies"`
}

// rolloutStopBody tells the phases of rollouts, such as that a version is bad; the reply
// is a rolloutConfirmBody with a confirmation for each.
type rolloutStopBody struct {
	Notices []rollout.Notice `cbor:"notices"`
}

type rolloutConfirmBody struct {
	Confirmations []rollout.Confirmation `cbor:"confirmations"`
}

// ReportRollouts sends reports to the controller of their rollouts and returns a reply for
// each.
func (l *Links) ReportRollouts(ctx context.Context, address netip.AddrPort, reports []rollout.Report) ([]rollout.Reply, error) {
	var reply rolloutReplyBody
	if err := l.call(ctx, address, kindRolloutReport, rolloutReportBody{reports}, &reply); err != nil {
		return nil, err
	}
	if len(reply.Replies) != len(reports) {
		return nil, merry.Errorf("%d replies to %d reports", len(reply.Replies), len(reports))
	}
	return reply.Replies, nil
}

// NotifyRollouts tells a peer the phases of rollouts and returns a confirmation for each.
func (l *Links) NotifyRollouts(ctx context.Context, address netip.AddrPort, notices []rollout.Notice) ([]rollout.Confirmation, error) {
	var reply rolloutConfirmBody
	if err := l.call(ctx, address, kindRolloutStop, rolloutStopBody{notices}, &reply); err != nil {
		return nil, err
	}
	if len(reply.Confirmations) != len(notices) {
		return nil, merry.Errorf("%d confirmations of %d notices", len(reply.Confirmations), len(notices))
	}
	return reply.Confirmations, nil
}

// dispatchRollout handles the frames of rollouts.
func (s *Server) dispatchRollout(f frame) (any, error) {
	if s.RolloutReports == nil || s.RolloutNotices == nil {
		return nil, errNoRollouts
	}
	if f.Kind == kindRolloutReport {
		return handleBody(f, func(b rolloutReportBody) (any, error) {
			return rolloutReplyBody{s.RolloutReports(b.Reports)}, nil
		})
	}
	return handleBody(f, func(b rolloutStopBody) (any, error) {
		return rolloutConfirmBody{s.RolloutNotices(b.Notices)}, nil
	})
}
