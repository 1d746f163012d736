package peer

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/fleet"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/scatter"
)

// path is where peers connect.
const path = "/peer"

// Server answers the frames of peers.
type Server struct {
	board   *blackboard.Board
	log     *slog.Logger
	traffic *Traffic
	permits *Permits

	// Ping takes in gossip and returns this instance's.
	Ping func(ctx context.Context, g member.Gossip) member.Gossip
	// Probe probes an address on behalf of a peer.
	Probe func(ctx context.Context, target netip.AddrPort) error
	// Suspects takes in what peers tell of queries.
	Suspects func([]blackboard.Suspect)
	// Records returns what is newer than a revision.
	Records func(since uint64) Knowledge
	// Gather runs part of a search for a peer.
	Gather func(ctx context.Context, g scatter.Gather, emit func(scatter.Partial))
}

// NewServer returns a server; its fields must be set before it serves.
func NewServer(board *blackboard.Board, permits *Permits, traffic *Traffic, log *slog.Logger) *Server {
	return &Server{
		board: board, permits: permits, traffic: traffic, log: log,
		Records: func(uint64) Knowledge { return Knowledge{} },
		Gather:  func(context.Context, scatter.Gather, func(scatter.Partial)) {},
	}
}

// Handler serves the peer port.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(path, s.accept)
	return mux
}

// accept reads the frames of one connection until it ends. A malformed frame
// ends the connection, not the process.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrame)
	ctx := r.Context()
	running := &gathers{cancel: make(map[uint64]context.CancelCauseFunc)}
	defer running.endAll()
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		s.traffic.Received.Add(int64(len(data)))
		f, err := decode(data)
		if err != nil {
			s.traffic.Malformed.Add(1)
			s.log.Warn("malformed frame from peer", "remote", r.RemoteAddr, "error", err)
			conn.Close(websocket.StatusUnsupportedData, "malformed frame")
			return
		}
		switch f.Kind {
		case kindGather:
			go s.gather(ctx, conn, f, running)
		case kindCancel:
			s.cancel(f, running)
		default:
			go s.answer(ctx, conn, f)
		}
	}
}

// answer serves one frame and sends the reply.
func (s *Server) answer(ctx context.Context, conn *websocket.Conn, f frame) {
	k := kindReply
	body, err := s.serve(ctx, f)
	if err != nil {
		k = kindError
		body = errorBody{Message: err.Error()}
	}
	s.send(ctx, conn, f.ID, k, body)
}

// send writes a frame to a peer.
func (s *Server) send(ctx context.Context, conn *websocket.Conn, id uint64, k kind, body any) {
	data, err := encode(id, k, body)
	if err != nil {
		s.log.Error("cannot encode reply", "error", err)
		return
	}
	s.traffic.Sent.Add(int64(len(data)))
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		s.log.Debug("cannot reply to peer", "error", err)
	}
}

// cancel ends a gather that the peer does not wait for any more.
func (s *Server) cancel(f frame, running *gathers) {
	var b cancelBody
	if err := cbor.Unmarshal(f.Body, &b); err != nil {
		s.traffic.Malformed.Add(1)
		return
	}
	var cause error
	if b.Hard {
		cause = scatter.ErrAbandoned
	}
	running.end(b.ID, cause)
}

func (s *Server) serve(ctx context.Context, f frame) (any, error) {
	switch f.Kind {
	case kindPing:
		return serveBody(f, func(b pingBody) (any, error) { return s.Ping(ctx, b), nil })
	case kindPingVia:
		return serveBody(f, func(b pingViaBody) (any, error) { return struct{}{}, s.Probe(ctx, b.Target) })
	case kindConfig:
		return serveBody(f, func(b configBody) (any, error) { return s.board.Config.Load().DeltaFrom(b.Have), nil })
	case kindRecords:
		return serveBody(f, func(b recordsBody) (any, error) { return s.Records(b.Since), nil })
	case kindPermit:
		return serveBody(f, func(b permitBody) (any, error) { return s.permits.grant(ctx, b) })
	case kindRelease:
		return serveBody(f, func(b releaseBody) (any, error) {
			s.permits.release(b.ID, b.Proven)
			return struct{}{}, nil
		})
	case kindWarmth:
		return serveBody(f, func(b warmthBody) (any, error) {
			return warmthBody{Servers: fleet.KnownWarm(s.board.Routes.Load(), b.Servers)}, nil
		})
	case kindSuspect:
		return serveBody(f, func(b suspectBody) (any, error) {
			s.Suspects(b.Suspects)
			return struct{}{}, nil
		})
	}
	s.traffic.Malformed.Add(1)
	return nil, merry.Errorf("unknown kind %q", f.Kind)
}

// serveBody decodes the body of a frame and serves it.
func serveBody[T any](f frame, serve func(T) (any, error)) (any, error) {
	var body T
	if err := cbor.Unmarshal(f.Body, &body); err != nil {
		return nil, merry.Prependf(err, "malformed body of %q", f.Kind)
	}
	return serve(body)
}
