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

// TestRequestsGetCompleteAnswersOrRefusals runs the commands of each file in
// testdata and compares the output with that in the file. It guards against
// answers with missing or mixed shards, requests that run twice, refusals with a
// wrong outcome and limits that are exceeded. Commands: search, execute, server,
// publish, limit, capacity, phase, platform.
func TestRequestsGetCompleteAnswersOrRefusals(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var commands []*datadriven.TestData
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			instance := newTestInstance(ctx)
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				commands = append(commands, d)
				return instance.runCommand(d)
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

func (inst *testInstance) runCommand(d *datadriven.TestData) string {
	switch d.Cmd {
	case "search":
		return inst.search(d)
	case "execute":
		return inst.execute(d)
	case "server":
		f := inst.servers[argument(d, "service")][intArgument(d, "index")]
		f.connectionLost = d.HasArg("lost")
		f.extraDelay = time.Duration(intArgument(d, "slow-ms")) * time.Millisecond
		return "ok"
	case "publish":
		return inst.publishVersion(d)
	case "limit":
		r := *inst.routes[argument(d, "service")]
		service := *r.Service
		service.Limits = []blackboard.Limit{{Caller: argument(d, "caller"), Class: argument(d, "class"), InFlight: uint32(intArgument(d, "in-flight"))}}
		r.Service = &service
		r.State.InFlight = make([]atomic.Int32, 1)
		inst.routes[service.Name] = &r
		inst.publish()
		return "ok"
	case "capacity":
		inst.server.capacity.maxShards = int64(intArgument(d, "shards"))
		return "ok"
	case "phase":
		local := *inst.board.LocalInstance.Load()
		local.Phase = map[string]blackboard.Phase{"starting": blackboard.Starting, "serving": blackboard.Serving, "stopping": blackboard.Stopping}[argument(d, "is")]
		inst.board.LocalInstance.Store(&local)
		return "ok"
	case "platform":
		inst.storeMu.Lock()
		defer inst.storeMu.Unlock()
		inst.storeDown = d.HasArg("down")
		return "ok"
	}
	return "unknown command " + d.Cmd
}

// publishVersion replaces the version on all servers of a service. The routes
// change only 50 ms later.
func (inst *testInstance) publishVersion(d *datadriven.TestData) string {
	name, version, shards := argument(d, "service"), uint64(intArgument(d, "version")), intArgument(d, "shards")
	for _, f := range inst.servers[name] {
		f.versions = []uint64{version}
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		inst.pinVersion(name, version, shards)
		inst.publish()
	}()
	return "ok"
}

func (inst *testInstance) search(d *datadriven.TestData) string {
	r := &callerpb.SearchRequest{
		RequestId: argument(d, "id"), Caller: "tester", Services: strings.Split(argument(d, "services"), ","),
		Resent: d.HasArg("resent"), Query: strings.TrimSpace(d.Input), DeadlineMs: int64(intArgument(d, "deadline-ms")),
		Class: callerpb.Class(callerpb.Class_value["CLASS_"+strings.ToUpper(argument(d, "class"))]),
	}
	if n := intArgument(d, "query-bytes"); n > 0 {
		r.Query = strings.Repeat("x", n)
	}
	if d.HasArg("least") {
		minCoverage, err := strconv.ParseFloat(argument(d, "least"), 64)
		if err != nil {
			return err.Error()
		}
		r.LeastCoverage = &minCoverage
	}
	times := max(1, intArgument(d, "times"))
	results := make([]string, times)
	done := make(chan int)
	for i := range times {
		request := &callerpb.SearchRequest{
			Resent: r.Resent, RequestId: r.RequestId, Caller: r.Caller, Services: r.Services, Query: r.Query, DeadlineMs: r.DeadlineMs,
			Class: r.Class, LeastCoverage: r.LeastCoverage,
		}
		if d.HasArg("own-ids") {
			request.RequestId += fmt.Sprint(i)
		}
		go func() {
			stream := &fakeStream{ctx: context.Background()}
			if err := callerrpc.New(inst.server.Search, inst.server.Execute).Search(request, stream); err != nil {
				results[i] = formatError(err)
			} else {
				results[i] = formatMessages(stream.messages)
			}
			done <- i
		}()
		time.Sleep(time.Millisecond)
	}
	for range times {
		<-done
	}
	return strings.Join(results, "") + inst.takeCallCount()
}

func (inst *testInstance) execute(d *datadriven.TestData) string {
	reply, err := callerrpc.New(inst.server.Search, inst.server.Execute).Execute(context.Background(), &callerpb.ExecuteRequest{
		RequestId: argument(d, "id"), Caller: "tester", Service: argument(d, "service"), Payload: []byte(strings.TrimSpace(d.Input)),
		Resent:     d.HasArg("resent"),
		DeadlineMs: int64(intArgument(d, "deadline-ms")),
	})
	synctest.Wait()
	if err != nil {
		return formatError(err) + inst.takeCallCount()
	}
	return fmt.Sprintf("result %q\n", reply.Result) + inst.takeCallCount()
}

// takeCallCount returns and resets the number of calls that reached backend
// servers.
func (inst *testInstance) takeCallCount() string {
	n := 0
	for _, servers := range inst.servers {
		for _, f := range servers {
			n += int(f.calls.Swap(0))
		}
	}
	return fmt.Sprintf("calls: %d\n", n)
}

func formatError(err error) string {
	s := status.Convert(err)
	for _, d := range s.Details() {
		if r, ok := d.(*callerpb.Refusal); ok {
			return fmt.Sprintf("refused: %s, %s: %s\n", r.Reason, r.Outcome, r.Message)
		}
	}
	return fmt.Sprintf("error without a refusal: %v\n", err)
}

func formatMessages(messages []*callerpb.SearchReply) string {
	var b strings.Builder
	for _, f := range messages {
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

func argument(d *datadriven.TestData, name string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name && len(a.Vals) > 0 {
			return strings.Join(a.Vals, ",")
		}
	}
	return ""
}

func intArgument(d *datadriven.TestData, name string) int {
	n, err := strconv.Atoi(argument(d, name))
	if err != nil {
		return 0
	}
	return n
}
