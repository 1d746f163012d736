package operator

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/store"
	"lentilward.org/schema/operatorpb"
)

// fakeKeyValue is an in-memory key-value service that can be unavailable or lose
// the replies to the next writes.
type fakeKeyValue struct {
	entries       map[string]store.Entry
	revision      uint64
	repliesToLose int
	unavailable   bool
}

func (m *fakeKeyValue) keyValue() *store.KeyValue {
	return &store.KeyValue{
		Get: func(_ context.Context, key string) (store.Entry, error) {
			if m.unavailable {
				return store.Entry{}, store.ErrUnavailable
			}
			return m.entries[key], nil
		},
		Put: func(_ context.Context, key string, value []byte, expected uint64) (uint64, error) {
			if m.entries[key].Revision != expected {
				return 0, store.ErrConflict
			}
			m.revision++
			m.entries[key] = store.Entry{Value: value, Revision: m.revision}
			if m.repliesToLose > 0 {
				m.repliesToLose--
				return 0, store.ErrUnavailable
			}
			return m.revision, nil
		},
		Delete: func(_ context.Context, key string) error {
			delete(m.entries, key)
			return nil
		},
	}
}

// TestChangesAreIdempotentAndConflictsRefused runs the operator commands of each
// file in testdata and compares the replies with those in the file. It guards
// against changes that are applied twice when they are sent again, changes that
// overwrite a newer one, and invalid requests that are accepted.
func TestChangesAreIdempotentAndConflictsRefused(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		m := &fakeKeyValue{entries: make(map[string]store.Entry)}
		board := blackboard.New(blackboard.LocalInstance{Name: "test"})
		s := New(board, store.NewStore(m.keyValue(), board), slog.New(slog.DiscardHandler))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runCommand(s, m, d)
		})
	})
}

func runCommand(s *Server, m *fakeKeyValue, d *datadriven.TestData) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	change := &operatorpb.Change{ChangeId: textArg(d, "id"), Author: textArg(d, "author")}
	if d.HasArg("from") {
		from := numberArg(d, "from")
		change.FromRevision = &from
	}
	name := textArg(d, "name")
	switch d.Cmd {
	case "put":
		return formatReply(s.PutService(ctx, &operatorpb.PutServiceRequest{Change: change, Service: serviceFromArgs(d), CreateOnly: d.HasArg("create")}))
	case "remove":
		return formatReply(s.RemoveService(ctx, &operatorpb.RemoveServiceRequest{Change: change, Name: name}))
	case "withdraw", "return":
		return formatReply(s.SetDataCentre(ctx, &operatorpb.SetDataCentreRequest{Change: change, Name: name, Withdrawn: d.Cmd == "withdraw"}))
	case "drain":
		return formatReply(s.DrainBackendServer(ctx, &operatorpb.DrainBackendServerRequest{Change: change, Service: name, Address: textArg(d, "address"), Draining: true}))
	case "platform":
		m.unavailable = d.HasArg("down")
		m.repliesToLose = int(numberArg(d, "lose"))
		return "ok"
	case "config":
		return formatConfig(s)
	case "history":
		r, err := s.GetDiff(ctx, &operatorpb.GetDiffRequest{FromRevision: numberArg(d, "from"), ToRevision: numberArg(d, "to")})
		if err != nil {
			return err.Error()
		}
		var b strings.Builder
		for _, h := range r.Entries {
			fmt.Fprintf(&b, "%d %s by %q: %s\n", h.Revision, h.ChangeId, h.Author, h.Summary)
		}
		return b.String()
	}
	return "unknown command " + d.Cmd
}

// serviceFromArgs returns a service with one backend server for each port in the
// argument ports, alternately in data centres north and south.
func serviceFromArgs(d *datadriven.TestData) *operatorpb.Service {
	p := &operatorpb.Service{Name: textArg(d, "name"), Shards: uint32(max(1, numberArg(d, "shards"))), Priority: uint32(numberArg(d, "priority"))}
	for i, port := range strings.Split(textArg(d, "ports"), ",") {
		n, err := strconv.Atoi(port)
		if err != nil {
			continue
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(n))
		p.BackendServers = append(p.BackendServers, &operatorpb.BackendServer{
			Address: address.String(), DataCentre: []string{"north", "south"}[i%2], Slots: 2, Connections: 3,
			ColdLimit: uint32(max(1, numberArg(d, "cold-limit"))),
		})
	}
	return p
}

func formatReply(r *operatorpb.ChangeReply, err error) string {
	if err == nil {
		return fmt.Sprintf("accepted at revision %d, repeated %v\n", r.Revision, r.RepeatedChange)
	}
	st := status.Convert(err)
	text := fmt.Sprintf("%s: %s\n", st.Code(), st.Message())
	for _, detail := range st.Details() {
		if c, ok := detail.(*operatorpb.Conflict); ok {
			for _, h := range c.Since {
				text += fmt.Sprintf("  since: %d by %q: %s\n", h.Revision, h.Author, h.Summary)
			}
		}
	}
	return text
}

func formatConfig(s *Server) string {
	r, err := s.GetConfig(context.Background(), &operatorpb.GetConfigRequest{})
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d\n", r.Revision)
	for _, service := range r.Services {
		fmt.Fprintf(&b, "%s: %d shards, priority %d, revision %d\n", service.Name, service.Shards, service.Priority, service.Revision)
		for _, server := range service.BackendServers {
			fmt.Fprintf(&b, "  %s %s draining %v\n", server.Address, server.DataCentre, server.Draining)
		}
	}
	for _, dataCentre := range r.DataCentres {
		fmt.Fprintf(&b, "%s: withdrawn %v, %d backend servers\n", dataCentre.Name, dataCentre.Withdrawn, dataCentre.BackendServers)
	}
	return b.String()
}

func textArg(d *datadriven.TestData, name string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name {
			return strings.Join(a.Vals, ",")
		}
	}
	return ""
}

func numberArg(d *datadriven.TestData, name string) uint64 {
	n, err := strconv.ParseUint(textArg(d, name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
