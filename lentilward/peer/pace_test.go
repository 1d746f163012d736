package peer

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/pace"
)

// Guards against reports that don't reach their owner, and against states that come back
// in another order.
func TestReportsOfPacesAreAnswered(t *testing.T) {
	s, server := newLimitedServer(t, nil)
	s.MergePace = func(reports []pace.Report) []pace.State {
		states := make([]pace.State, 0, len(reports))
		for _, r := range reports {
			states = append(states, pace.State{Weight: 0.5, Recent: pace.Marks{Sum: r.Marks.Sum, Evidence: 2}})
		}
		return states
	}
	l := NewLinks(&Traffic{})
	defer l.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	states, err := l.ReportPace(t.Context(), address, []pace.Report{
		{ID: "a", Age: time.Second, Marks: pace.Marks{Sum: 3, Evidence: 4}}, {ID: "b", Marks: pace.Marks{Sum: -8, Evidence: 2}},
	})
	if err != nil || len(states) != 2 || states[0].Recent.Sum != 3 || states[1].Recent.Sum != -8 || states[0].Weight != 0.5 {
		t.Fatalf("states %+v, error %v", states, err)
	}
}

// Guards against reports of paces that make large frames: an instance sends up to four in
// an interval.
func TestReportOfManyPacesIsSmall(t *testing.T) {
	var reports []pace.Report
	for i := range 64 {
		reports = append(reports, pace.Report{ID: fmt.Sprintf("server-%d-of-shard-%d", i%3, i), Age: 1234567 * time.Microsecond, Marks: pace.Marks{Sum: -1.2345, Evidence: 17}})
	}
	data, err := encodeFrame(1, kindPace, paceBody{Reports: reports})
	if err != nil {
		t.Fatal(err)
	}
	var body paceBody
	if f, err := decodeFrame(data); err != nil || cbor.Unmarshal(f.Body, &body) != nil || len(body.Reports) != 64 {
		t.Fatalf("frame %+v, error %v", f, err)
	}
	t.Logf("%d bytes for 64 servers", len(data))
	if len(data) > 6<<10 {
		t.Errorf("%d bytes for 64 servers", len(data))
	}
}
