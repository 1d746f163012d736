package caller

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/callerrpc"
	"lentilward.org/schema/callerpb"
)

// TestSessions runs whole sessions of callers against their golden files.
// Commands: search, execute, server, publish, limit, capacity, phase, platform.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var commands []*datadriven.TestData
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			tier := newTier(ctx)
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				commands = append(commands, d)
				return tier.command(d)
			})
			time.Sleep(time.Minute)
			cancel()
			synctest.Wait()
		})
		if len(commands) == 0 {
			t.Error("empty session")
		}
	})
}

func (t *tier) command(d *datadriven.TestData) string {
	switch d.Cmd {
	case "search":
		return t.search(d)
	case "execute":
		return t.execute(d)
	case "server":
		f := t.servers[arg(d, "service")][number(d, "index")]
		f.lost = d.HasArg("lost")
		f.slow = time.Duration(number(d, "slow-ms")) * time.Millisecond
		return "ok"
	case "publish":
		return t.publishVersion(d)
	case "limit":
		r := *t.routes[arg(d, "service")]
		service := *r.Service
		service.Limits = []blackboard.Limit{{Caller: arg(d, "caller"), Class: arg(d, "class"), InFlight: uint32(number(d, "in-flight"))}}
		r.Service = &service
		r.State.InFlight = make([]atomic.Int32, 1)
		t.routes[service.Name] = &r
		t.publish()
		return "ok"
	case "capacity":
		t.server.capacity.most = int64(number(d, "shards"))
		return "ok"
	case "phase":
		own := *t.board.Own.Load()
		own.Phase = map[string]blackboard.Phase{"starting": blackboard.Starting, "serving": blackboard.Serving, "stopping": blackboard.Stopping}[arg(d, "is")]
		t.board.Own.Store(&own)
		return "ok"
	case "platform":
		t.kvMu.Lock()
		defer t.kvMu.Unlock()
		t.kvDown = d.HasArg("down")
		return "ok"
	}
	return "unknown command " + d.Cmd
}

// publishVersion gives all servers of a service a new version and takes the old
// one away. The routes follow after a while.
func (t *tier) publishVersion(d *datadriven.TestData) string {
	name, version, shards := arg(d, "service"), uint64(number(d, "version")), number(d, "shards")
	for _, f := range t.servers[name] {
		f.versions = []uint64{version}
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		t.pin(name, version, shards)
		t.publish()
	}()
	return "ok"
}

func (t *tier) search(d *datadriven.TestData) string {
	r := &callerpb.SearchRequest{
		RequestId: arg(d, "id"), Caller: "tester", Services: strings.Split(arg(d, "services"), ","),
		Resent: d.HasArg("resent"), Query: strings.TrimSpace(d.Input), DeadlineMs: int64(number(d, "deadline-ms")),
		Class: callerpb.Class(callerpb.Class_value["CLASS_"+strings.ToUpper(arg(d, "class"))]),
	}
	if n := number(d, "query-bytes"); n > 0 {
		r.Query = strings.Repeat("x", n)
	}
	if d.HasArg("least") {
		least, err := strconv.ParseFloat(arg(d, "least"), 64)
		if err != nil {
			return err.Error()
		}
		r.LeastCoverage = &least
	}
	times := max(1, number(d, "times"))
	results := make([]string, times)
	done := make(chan int)
	for i := range times {
		copied := &callerpb.SearchRequest{
			Resent: r.Resent, RequestId: r.RequestId, Caller: r.Caller, Services: r.Services, Query: r.Query, DeadlineMs: r.DeadlineMs,
			Class: r.Class, LeastCoverage: r.LeastCoverage,
		}
		if d.HasArg("own-ids") {
			copied.RequestId += fmt.Sprint(i)
		}
		go func() {
			stream := &fakeStream{ctx: context.Background()}
			if err := callerrpc.New(t.server.Search, t.server.Execute).Search(copied, stream); err != nil {
				results[i] = describe(err)
			} else {
				results[i] = frames(stream.frames)
			}
			done <- i
		}()
		time.Sleep(time.Millisecond)
	}
	for range times {
		<-done
	}
	return strings.Join(results, "") + t.count()
}

func (t *tier) execute(d *datadriven.TestData) string {
	reply, err := callerrpc.New(t.server.Search, t.server.Execute).Execute(context.Background(), &callerpb.ExecuteRequest{
		RequestId: arg(d, "id"), Caller: "tester", Service: arg(d, "service"), Payload: []byte(strings.TrimSpace(d.Input)),
		Resent:     d.HasArg("resent"),
		DeadlineMs: int64(number(d, "deadline-ms")),
	})
	synctest.Wait()
	if err != nil {
		return describe(err) + t.count()
	}
	return fmt.Sprintf("result %q\n", reply.Result) + t.count()
}

// count tells and resets the calls that reached backend servers.
func (t *tier) count() string {
	n := 0
	for _, servers := range t.servers {
		for _, f := range servers {
			n += int(f.calls.Swap(0))
		}
	}
	return fmt.Sprintf("calls: %d\n", n)
}

func describe(err error) string {
	s := status.Convert(err)
	for _, d := range s.Details() {
		if r, ok := d.(*callerpb.Refusal); ok {
			return fmt.Sprintf("refused: %s, %s: %s\n", r.Reason, r.Outcome, r.Message)
		}
	}
	return fmt.Sprintf("error without a refusal: %v\n", err)
}

func frames(frames []*callerpb.SearchReply) string {
	var b strings.Builder
	for _, f := range frames {
		for _, m := range f.Matches {
			fmt.Fprintf(&b, "chunk %d: %.2f %s\n", f.Chunk, m.Score, m.Text)
		}
		if s := f.Summary; s != nil {
			fmt.Fprintf(&b, "chunk %d: end of %d chunks, %d matches, %d of %d shards\n", f.Chunk, s.Chunks, s.Matches, s.ShardsCovered, s.ShardsTotal)
			for _, c := range s.Services {
				fmt.Fprintf(&b, "  %s at version %d, %d shards, missing %v\n", c.Service, c.Version, c.Shards, c.Missing)
			}
		}
	}
	return b.String()
}

func arg(d *datadriven.TestData, name string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name && len(a.Vals) > 0 {
			return strings.Join(a.Vals, ",")
		}
	}
	return ""
}

func number(d *datadriven.TestData, name string) int {
	n, err := strconv.Atoi(arg(d, name))
	if err != nil {
		return 0
	}
	return n
}
