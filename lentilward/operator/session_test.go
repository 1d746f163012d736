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

// memory is a key-value service that loses the answers of writes when told.
type memory struct {
	entries  map[string]store.Entry
	revision uint64
	lose     int
	down     bool
}

func (m *memory) keyValue() *store.KeyValue {
	return &store.KeyValue{
		Get: func(_ context.Context, key string) (store.Entry, error) {
			if m.down {
				return store.Entry{}, store.ErrUnavailable
			}
			return m.entries[key], nil
		},
		Put: func(_ context.Context, key string, value []byte, expected, _ uint64) (uint64, error) {
			if m.entries[key].Revision != expected {
				return 0, store.ErrConflict
			}
			m.revision++
			m.entries[key] = store.Entry{Value: value, Revision: m.revision}
			if m.lose > 0 {
				m.lose--
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

// TestSessions runs whole sessions of operators against their golden files.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		m := &memory{entries: make(map[string]store.Entry)}
		board := blackboard.New(blackboard.Own{Name: "test"})
		s := New(board, store.NewStore(m.keyValue(), board), slog.New(slog.DiscardHandler))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return command(s, m, d)
		})
	})
}

func command(s *Server, m *memory, d *datadriven.TestData) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	change := &operatorpb.Change{ChangeId: arg(d, "id"), Author: arg(d, "author")}
	if d.HasArg("from") {
		from := number(d, "from")
		change.FromRevision = &from
	}
	name := arg(d, "name")
	switch d.Cmd {
	case "put":
		return answer(s.PutService(ctx, &operatorpb.PutServiceRequest{Change: change, Service: service(d), CreateOnly: d.HasArg("create")}))
	case "remove":
		return answer(s.RemoveService(ctx, &operatorpb.RemoveServiceRequest{Change: change, Name: name}))
	case "withdraw", "return":
		return answer(s.SetDataCentre(ctx, &operatorpb.SetDataCentreRequest{Change: change, Name: name, Withdrawn: d.Cmd == "withdraw"}))
	case "drain":
		return answer(s.DrainBackendServer(ctx, &operatorpb.DrainBackendServerRequest{Change: change, Service: name, Address: arg(d, "address"), Draining: true}))
	case "platform":
		m.down = d.HasArg("down")
		m.lose = int(number(d, "lose"))
		return "ok"
	case "config":
		return config(s)
	case "history":
		r, err := s.GetDiff(ctx, &operatorpb.GetDiffRequest{FromRevision: number(d, "from"), ToRevision: number(d, "to")})
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

// service makes a service with a server per named port.
func service(d *datadriven.TestData) *operatorpb.Service {
	p := &operatorpb.Service{Name: arg(d, "name"), Shards: uint32(max(1, number(d, "shards"))), Priority: uint32(number(d, "priority"))}
	for i, port := range strings.Split(arg(d, "ports"), ",") {
		n, err := strconv.Atoi(port)
		if err != nil {
			continue
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(n))
		p.BackendServers = append(p.BackendServers, &operatorpb.BackendServer{
			Address: address.String(), DataCentre: []string{"north", "south"}[i%2], Slots: 2, Connections: 3,
			ColdLimit: uint32(max(1, number(d, "cold-limit"))),
		})
	}
	return p
}

func answer(r *operatorpb.ChangeReply, err error) string {
	if err == nil {
		return fmt.Sprintf("accepted at revision %d, repeated %v\n", r.Revision, r.RepeatedChange)
	}
	st := status.Convert(err)
	text := fmt.Sprintf("%s: %s\n", st.Code(), st.Message())
	for _, x := range st.Details() {
		if c, ok := x.(*operatorpb.Conflict); ok {
			for _, h := range c.Since {
				text += fmt.Sprintf("  since: %d by %q: %s\n", h.Revision, h.Author, h.Summary)
			}
		}
	}
	return text
}

func config(s *Server) string {
	r, err := s.GetConfig(context.Background(), &operatorpb.GetConfigRequest{})
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d\n", r.Revision)
	for _, x := range r.Services {
		fmt.Fprintf(&b, "%s: %d shards, priority %d, revision %d\n", x.Name, x.Shards, x.Priority, x.Revision)
		for _, y := range x.BackendServers {
			fmt.Fprintf(&b, "  %s %s draining %v\n", y.Address, y.DataCentre, y.Draining)
		}
	}
	for _, x := range r.DataCentres {
		fmt.Fprintf(&b, "%s: withdrawn %v, %d backend servers\n", x.Name, x.Withdrawn, x.BackendServers)
	}
	return b.String()
}

func arg(d *datadriven.TestData, name string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name {
			return strings.Join(a.Vals, ",")
		}
	}
	return ""
}

func number(d *datadriven.TestData, name string) uint64 {
	n, err := strconv.ParseUint(arg(d, name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
