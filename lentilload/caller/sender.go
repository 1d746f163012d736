package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/schema/callerpb"
	"lentilward.org/schema/dial"
)

const (
	// readinessPollInterval is the time between two readiness checks of an
	// instance.
	readinessPollInterval = 100 * time.Millisecond
	// maxInstancesTried is the maximum number of times that one request is sent
	// when instances do not accept it.
	maxInstancesTried = 4
	// answerGracePeriod is how long after its deadline a request is cancelled, so
	// that late answers are still received and counted.
	answerGracePeriod = time.Second
)

// Sender distributes requests round-robin over the instances that are ready.
type Sender struct {
	instances []*instance
	next      atomic.Uint64
}

type instance struct {
	client   callerpb.CallerClient
	ready    atomic.Bool
	readyURL string
}

// NewSender returns a sender to the instances at the given caller addresses. It
// polls their readiness at the monitor addresses, which are in the same order,
// until the context ends. It fails if a caller address is invalid.
func NewSender(ctx context.Context, callers, monitors []string) (*Sender, error) {
	s := &Sender{}
	for i, address := range callers {
		conn, err := dial.NewFromString(address)
		if err != nil {
			return nil, err
		}
		added := &instance{client: callerpb.NewCallerClient(conn), readyURL: "http://" + monitors[i] + "/readyz"}
		s.instances = append(s.instances, added)
		go added.pollReadiness(ctx)
	}
	return s, nil
}

// pollReadiness polls /readyz, as the platform's load balancer does, until the
// context ends.
func (i *instance) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		r, err := client.Get(i.readyURL)
		i.ready.Store(err == nil && r.StatusCode == http.StatusOK)
		if err == nil {
			r.Body.Close()
		}
		time.Sleep(readinessPollInterval)
	}
}

// ReadyCount returns the number of instances that are ready.
func (s *Sender) ReadyCount() int {
	n := 0
	for _, i := range s.instances {
		if i.ready.Load() {
			n++
		}
	}
	return n
}

// pickInstance returns the next ready instance, or the next one if none is ready.
func (s *Sender) pickInstance() int {
	first := int(s.next.Add(1))
	for i := range s.instances {
		n := (first + i) % len(s.instances)
		if s.instances[n].ready.Load() {
			return n
		}
	}
	return first % len(s.instances)
}

// Send sends a request to one ready instance after another until one accepts
// it, and fills in the record. It tries another instance only if the request
// certainly did not run.
func (s *Sender) Send(ctx context.Context, r *Record) {
	r.Start = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+answerGracePeriod)
	defer cancel()
	for range maxInstancesTried {
		r.Instance = s.pickInstance()
		err := s.instances[r.Instance].send(ctx, r)
		r.Latency = time.Since(r.Start)
		if err == nil {
			r.EndState = Answered
			return
		}
		retry := recordFailure(r, err)
		if !retry {
			return
		}
	}
}

// SendToInstance sends a request to the instance with the given index, modulo
// the number of instances, without trying others, and fills in the record.
func (s *Sender) SendToInstance(ctx context.Context, index int, r *Record) {
	r.Start = time.Now()
	r.Instance = index % len(s.instances)
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+answerGracePeriod)
	defer cancel()
	err := s.instances[r.Instance].send(ctx, r)
	r.Latency = time.Since(r.Start)
	r.EndState = Answered
	if err != nil {
		recordFailure(r, err)
	}
}

func (i *instance) send(ctx context.Context, r *Record) error {
	class := callerpb.Class(callerpb.Class_value["CLASS_"+strings.ToUpper(r.Class)])
	remaining := r.Deadline - time.Since(r.Start)
	if r.Execute {
		_, err := i.client.Execute(ctx, &callerpb.ExecuteRequest{
			RequestId: r.ID, Caller: r.Caller, Service: r.Services[0], Payload: []byte(r.Query), Class: class,
			DeadlineMs: max(1, remaining.Milliseconds()), Resent: r.Resent,
		})
		return err
	}
	minCoverage := 1.0
	if !r.AllShards {
		minCoverage = 0.5
	}
	stream, err := i.client.Search(ctx, &callerpb.SearchRequest{
		RequestId: r.ID, Caller: r.Caller, Services: r.Services, Query: r.Query, Class: class,
		DeadlineMs: max(1, remaining.Milliseconds()), LeastCoverage: &minCoverage, Resent: r.Resent,
	})
	if err != nil {
		return err
	}
	return receive(stream, r)
}

// receive reads the frames of an answer up to the summary and records protocol
// errors in r.FrameError. It fails if the stream ends before the summary.
func receive(stream grpc.ServerStreamingClient[callerpb.SearchReply], r *Record) error {
	r.Matches = nil
	for chunk := uint32(0); ; chunk++ {
		frame, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return status.Error(codes.DataLoss, "answer stream ended before its summary")
		}
		if err != nil {
			return err
		}
		if frame.RequestId != r.ID {
			r.FrameError = fmt.Sprintf("received a frame of request %q", frame.RequestId)
		}
		if frame.Chunk != chunk {
			r.FrameError = fmt.Sprintf("received chunk %d, want chunk %d", frame.Chunk, chunk)
		}
		for _, m := range frame.Matches {
			r.Matches = append(r.Matches, Match{m.Service, m.Shard, m.Record, m.Text})
		}
		if frame.Summary == nil {
			continue
		}
		if frame.Summary.Chunks != chunk || frame.Summary.Matches != uint64(len(r.Matches)) {
			r.FrameError = "summary states another number of chunks or matches than was received"
		}
		r.Summary = frame.Summary
		return nil
	}
}

// recordFailure records how a request failed and reports whether another
// instance may be tried. Another one may be tried only if the request certainly did
// not run: the connection was refused, or the instance was stopping or not ready
// and stated the outcome not-run.
func recordFailure(r *Record, err error) (retry bool) {
	failure := status.Convert(err)
	r.Message = failure.Message()
	for _, d := range failure.Details() {
		if refusal, ok := d.(*callerpb.Refusal); ok {
			r.EndState, r.Reason, r.Outcome = Refused, refusal.Reason, refusal.Outcome
			notServing := refusal.Reason == callerpb.Reason_REASON_STOPPING || refusal.Reason == callerpb.Reason_REASON_NOT_READY
			return notServing && refusal.Outcome == callerpb.Outcome_OUTCOME_NOT_RUN
		}
	}
	r.EndState = Unanswered
	return dial.IsConnectionRefused(err)
}
