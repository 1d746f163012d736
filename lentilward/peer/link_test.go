package peer

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/mirror"
)

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Guards against sending the records of the store, which resemble each other, in full
// to every instance that starts.
func TestManyRecordsAreSentCompressed(t *testing.T) {
	var records []mirror.Record
	size := 0
	for i := range 500 {
		r := mirror.Record{Key: fmt.Sprint("servers/i-", i), Revision: uint64(i), Value: []byte(fmt.Sprintf(
			`{"service":"billing-desk-%d","address":"10.1.%d.%d:8066","zone":"trd-a","version":"v1","slots":2,"state":"ready"}`, i%87, i/250, i%250))}
		records = append(records, r)
		size += len(r.Key) + len(r.Value)
	}
	board := blackboard.New(blackboard.LocalInstance{})
	s := NewServer(board, NewPermits(board), &Traffic{}, slog.New(slog.DiscardHandler))
	s.Records = func(blackboard.Version) RecordsReply {
		return RecordsReply{Delta: mirror.Delta{Revision: 500, Records: records}}
	}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	var read atomic.Int64
	l := NewLinks(&Traffic{})
	defer l.Close()
	l.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{c, &read}, err
	}
	reply, err := l.FetchRecords(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), blackboard.Version{})
	if err != nil || len(reply.Records) != len(records) || string(reply.Records[499].Value) != string(records[499].Value) {
		t.Fatalf("%d records, %v", len(reply.Records), err)
	}
	if read.Load() > int64(size)/3 {
		t.Fatalf("%d bytes were received for records of %d bytes, want at most a third", read.Load(), size)
	}
}
