package peer

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/fleet"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/memory"
	"lentilward.org/lentilward/pace"
	"lentilward.org/lentilward/proof"
	"lentilward.org/lentilward/quota"
	"lentilward.org/lentilward/rollout"
	"lentilward.org/lentilward/scatter"
	"lentilward.org/lentilward/suspect"
)

// peerPath is the HTTP path of the WebSocket endpoint for peers.
const peerPath = "/peer"

// indirectProbeTimeout bounds a probe on behalf of a peer.
const indirectProbeTimeout = 500 * time.Millisecond

// Server handles the frames that peers send to this instance.
type Server struct {
	board   *blackboard.Board
	log     *slog.Logger
	traffic *Traffic
	permits *Permits

	// Memory bounds the bytes of the frames that are held. nil sets no bound.
	Memory *memory.Limit
	// Ping merges a peer's gossip and returns this instance's own.
	Ping func(ctx context.Context, g member.Gossip) member.Gossip
	// Probe pings an address on behalf of a peer.
	Probe func(ctx context.Context, target netip.AddrPort) error
	// MergeSuspects merges suspect requests that a peer reports, and returns those that have
	// run well on this instance since.
	MergeSuspects func([]suspect.Report) []suspect.Report
	// GrantTrial decides whether a refused request may run as a trial, and EndTrial ends one
	// that was granted.
	GrantTrial func(ctx context.Context, known suspect.Report, length time.Duration) suspect.Grant
	EndTrial   func(known suspect.Report)
	// Records returns the records changed after a revision, and the suspect
	// requests.
	Records func(since blackboard.Version) RecordsReply
	// ConfirmRecords asks the store whether the records are up to date, for a peer that can't,
	// and waits a moment for the answer.
	ConfirmRecords func(ctx context.Context)
	// Proof answers a peer that asks for this instance's proof.
	Proof func(ctx context.Context, q proof.Question) (proof.Answer, error)
	// Gather runs part of a search for a peer, and passes each partial result to
	// emit.
	Gather func(ctx context.Context, g scatter.Gather, emit func(scatter.Partial))
	// RolloutReports and RolloutNotices handle what peers tell of rollouts; nil if the
	// settings have none.
	RolloutReports func([]rollout.Report) []rollout.Reply
	RolloutNotices func([]rollout.Notice) []rollout.Confirmation
	// LendQuota answers a request for tokens of a tenant. QuotaHomes returns the instances
	// that this one considers the homes of tenants.
	LendQuota  func(a quota.Ask, final bool) QuotaReply
	QuotaHomes func(tenants []string) []netip.AddrPort
	// LendServerLimit and ServerLimitHomes are the same for the limits that backend servers
	// name. The servers with one key have the same home.
	LendServerLimit  func(a quota.Ask, final bool) QuotaReply
	ServerLimitHomes func(keys []string) []netip.AddrPort
	// MergePace adds up a peer's reports about paced servers.
	MergePace func([]pace.Report) []pace.State
}

// NewServer returns a server. Its function fields must be set before it serves;
// Records, ConfirmRecords, Proof, Gather, MergePace and the functions about limits have defaults that return
// nothing.
func NewServer(board *blackboard.Board, permits *Permits, traffic *Traffic, log *slog.Logger) *Server {
	return &Server{
		board: board, permits: permits, traffic: traffic, log: log,
		Records: func(blackboard.Version) RecordsReply { return RecordsReply{} }, ConfirmRecords: func(context.Context) {},
		Proof:  noProof,
		Gather: func(context.Context, scatter.Gather, func(scatter.Partial)) {},

		LendQuota:  func(quota.Ask, bool) QuotaReply { return QuotaReply{} },
		QuotaHomes: func([]string) []netip.AddrPort { return nil },

		LendServerLimit:  func(quota.Ask, bool) QuotaReply { return QuotaReply{} },
		ServerLimitHomes: func([]string) []netip.AddrPort { return nil },
		MergePace:        func([]pace.Report) []pace.State { return nil },
	}
}

// Handler returns the HTTP handler of the peer port.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(peerPath, s.serveConnection)
	return mux
}

// serveConnection handles the frames of one connection until it is closed. A
// malformed frame closes the connection and does not affect others.
func (s *Server) serveConnection(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: minCompressedBytes,
	})
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrameBytes)
	ctx := r.Context()
	running := &runningGathers{cancelFuncs: make(map[uint64]context.CancelCauseFunc)}
	defer running.cancelAll()
	for {
		f, err := receiveFrame(ctx, conn, s.Memory, s.traffic)
		switch {
		case errors.Is(err, errMalformed):
			s.log.Warn("malformed frame from peer", "remote", r.RemoteAddr, "error", err)
			conn.Close(websocket.StatusUnsupportedData, "malformed frame")
			return
		case errors.Is(err, memory.ErrExhausted):
			s.log.Warn("no memory for a frame from peer", "remote", r.RemoteAddr)
			return
		case err != nil:
			return
		}
		if f.Kind == kindCancel {
			s.cancelGather(f, running)
			f.hold.Release()
			continue
		}
		go func() {
			defer f.hold.Release()
			if f.Kind == kindGather {
				s.runGather(ctx, conn, f, running)
				return
			}
			s.handleFrame(ctx, conn, f)
		}()
	}
}

// handleFrame handles one frame and sends the reply or an error.
func (s *Server) handleFrame(ctx context.Context, conn *websocket.Conn, f frame) {
	k := kindReply
	body, err := s.dispatch(ctx, f)
	if err != nil {
		k = kindError
		body = errorBody{Message: err.Error()}
	}
	s.sendFrame(ctx, conn, f.ID, k, body)
}

// sendFrame sends a frame to a peer. Failures are only logged.
func (s *Server) sendFrame(ctx context.Context, conn *websocket.Conn, id uint64, k kind, body any) {
	data, err := encodeFrame(id, k, body)
	if err != nil {
		s.log.Error("encoding a frame for a peer failed", "error", err)
		return
	}
	s.traffic.SentBytes.Add(int64(len(data)))
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		s.log.Debug("sending a frame to a peer failed", "error", err)
	}
}

// cancelGather cancels a gather whose results the peer no longer needs.
func (s *Server) cancelGather(f frame, running *runningGathers) {
	var b cancelBody
	if err := cbor.Unmarshal(f.Body, &b); err != nil {
		s.traffic.MalformedFrames.Add(1)
		return
	}
	var cause error
	if b.Abandoned {
		cause = scatter.ErrAbandoned
	}
	running.cancel(b.ID, cause)
}

func (s *Server) dispatch(ctx context.Context, f frame) (any, error) {
	switch f.Kind {
	case kindPing:
		return handleBody(f, func(b pingBody) (any, error) { return s.Ping(ctx, b), nil })
	case kindPingVia:
		return handleBody(f, func(b pingViaBody) (any, error) {
			ctx, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
			defer cancel()
			return struct{}{}, s.Probe(ctx, b.Target)
		})
	case kindConfig:
		return handleBody(f, func(b configBody) (any, error) { return s.board.Config.Load().DeltaFrom(b.Since), nil })
	case kindRecords:
		return handleBody(f, func(b recordsBody) (any, error) {
			if b.Confirm {
				s.ConfirmRecords(ctx)
			}
			return s.Records(blackboard.Version{Era: b.Era, Revision: b.Since}), nil
		})
	case kindProof:
		return handleBody(f, func(b proof.Question) (any, error) { return s.Proof(ctx, b) })
	case kindPermit:
		return handleBody(f, func(b permitBody) (any, error) { return s.permits.grant(ctx, b) })
	case kindRelease:
		return handleBody(f, func(b releaseBody) (any, error) {
			s.permits.release(b.ID, b.Succeeded)
			return struct{}{}, nil
		})
	case kindWarmth:
		return handleBody(f, func(b warmthBody) (any, error) {
			return warmthBody{Servers: fleet.FilterWarm(s.board.Routes.Load(), b.Servers)}, nil
		})
	case kindSuspect:
		return handleBody(f, func(b suspectBody) (any, error) {
			return suspectBody{Suspects: s.MergeSuspects(b.Suspects)}, nil
		})
	case kindTrial:
		return handleBody(f, func(b trialBody) (any, error) {
			if b.Ended {
				s.EndTrial(b.Known)
				return suspect.Grant{}, nil
			}
			return s.GrantTrial(ctx, b.Known, b.Length), nil
		})
	case kindRolloutReport, kindRolloutStop:
		return s.dispatchRollout(f)
	case kindQuota, kindHomes, kindServerLimits, kindServerLimitHomes:
		return s.dispatchQuota(f)
	case kindPace:
		return handleBody(f, func(b paceBody) (any, error) { return paceReply{States: s.MergePace(b.Reports)}, nil })
	}
	s.traffic.MalformedFrames.Add(1)
	return nil, merry.Errorf("unknown frame kind %q", f.Kind)
}

// handleBody decodes the body of a frame and passes it to handle.
func handleBody[T any](f frame, handle func(T) (any, error)) (any, error) {
	var body T
	if err := cbor.Unmarshal(f.Body, &body); err != nil {
		return nil, merry.Prependf(err, "malformed body of %q frame", f.Kind)
	}
	return handle(body)
}
