package peer

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"lentilward.org/lentilward/rollout"
)

// Guards against fields of reports and notices that are lost on the way, and against an
// instance without rollouts that takes them for something else.
func TestRolloutFrames(t *testing.T) {
	s, server := newLimitedServer(t, nil)
	l := NewLinks(&Traffic{})
	defer l.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	report := rollout.Report{
		Service: "s", Order: 5, Instance: "i-1", Incarnation: 6, Sequence: 7, Used: 8, Requests: 9, Held: 1, Wanted: 2, Phase: rollout.Running,
		Routes: map[string]rollout.RouteCount{"r": {
			New: rollout.VersionCount{Replies: 3, Failures: 2, Slow: 1}, Old: rollout.VersionCount{Replies: 4}, Recent: []time.Duration{time.Second},
		}},
	}
	if _, err := l.ReportRollouts(t.Context(), address, []rollout.Report{report}); err == nil {
		t.Error("an instance without rollouts has taken a report")
	}
	if _, err := l.NotifyRollouts(t.Context(), address, []rollout.Notice{{}}); err == nil {
		t.Error("an instance without rollouts has taken a notice")
	}
	want := rollout.Reply{Granted: 2, Wait: time.Second, Phase: rollout.Moving, Lacking: []string{"r"}, Medians: map[string]time.Duration{"r": 3}}
	s.RolloutReports = func(got []rollout.Report) []rollout.Reply {
		if !reflect.DeepEqual(got, []rollout.Report{report}) {
			t.Errorf("got %+v", got)
		}
		return []rollout.Reply{want}
	}
	s.RolloutNotices = func(n []rollout.Notice) []rollout.Confirmation {
		if n[0] != (rollout.Notice{Service: "s", Order: 5, Phase: rollout.RolledBack}) {
			t.Errorf("got %+v", n)
		}
		return []rollout.Confirmation{{Phase: rollout.RolledBack, OldCalls: 3}}
	}
	replies, err := l.ReportRollouts(t.Context(), address, []rollout.Report{report})
	if err != nil || !reflect.DeepEqual(replies, []rollout.Reply{want}) {
		t.Errorf("got %+v, error %v", replies, err)
	}
	confirmations, err := l.NotifyRollouts(t.Context(), address, []rollout.Notice{{Service: "s", Order: 5, Phase: rollout.RolledBack}})
	if err != nil || len(confirmations) != 1 || confirmations[0].OldCalls != 3 {
		t.Errorf("got %+v, error %v", confirmations, err)
	}
	s.RolloutReports = func([]rollout.Report) []rollout.Reply { return nil }
	if _, err := l.ReportRollouts(t.Context(), address, []rollout.Report{report}); err == nil {
		t.Error("a reply without replies was accepted")
	}
}
