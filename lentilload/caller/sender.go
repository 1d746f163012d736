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
	// readyPeriod is the time between two health checks of an instance, as a
	// balancer makes them.
	readyPeriod = 100 * time.Millisecond
	// maxTries bounds the instances that one request is offered to.
	maxTries = 4
	// extraTime is how long after the deadline an answer is still awaited.
	extraTime = time.Second
)

// Sender spreads requests over the instances that are ready.
type Sender struct {
	instances []*instance
	next      atomic.Uint64
}

type instance struct {
	client callerpb.CallerClient
	ready  atomic.Bool
	health string
}

// NewSender returns a sender to instances whose caller and monitor addresses
// are given. It checks their readiness until the context ends.
func NewSender(ctx context.Context, callers, monitors []string) (*Sender, error) {
	s := &Sender{}
	for i, address := range callers {
		conn, err := dial.Parse(address)
		if err != nil {
			return nil, err
		}
		x := &instance{client: callerpb.NewCallerClient(conn), health: "http://" + monitors[i] + "/readyz"}
		s.instances = append(s.instances, x)
		go x.watch(ctx)
	}
	return s, nil
}

// watch checks readiness as the platform's balancer does.
func (x *instance) watch(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		r, err := client.Get(x.health)
		x.ready.Store(err == nil && r.StatusCode == http.StatusOK)
		if err == nil {
			r.Body.Close()
		}
		time.Sleep(readyPeriod)
	}
}

// Ready returns the number of instances that are ready.
func (s *Sender) Ready() int {
	n := 0
	for _, x := range s.instances {
		if x.ready.Load() {
			n++
		}
	}
	return n
}

// pick returns the next ready instance, or the next one if none is ready.
func (s *Sender) pick() int {
	first := int(s.next.Add(1))
	for i := range s.instances {
		n := (first + i) % len(s.instances)
		if s.instances[n].ready.Load() {
			return n
		}
	}
	return first % len(s.instances)
}

// Send offers a request to instances until one takes it, and fills in the
// record.
func (s *Sender) Send(ctx context.Context, r *Record) {
	r.Begin = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+extraTime)
	defer cancel()
	for range maxTries {
		r.Instance = s.pick()
		err := s.instances[r.Instance].send(ctx, r)
		r.Took = time.Since(r.Begin)
		if err == nil {
			r.End = Answered
			return
		}
		again := note(r, err)
		if !again {
			return
		}
	}
}

// SendTo sends a request to one instance only.
func (s *Sender) SendTo(ctx context.Context, n int, r *Record) {
	r.Begin = time.Now()
	r.Instance = n % len(s.instances)
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+extraTime)
	defer cancel()
	err := s.instances[r.Instance].send(ctx, r)
	r.Took = time.Since(r.Begin)
	r.End = Answered
	if err != nil {
		note(r, err)
	}
}

func (x *instance) send(ctx context.Context, r *Record) error {
	class := callerpb.Class(callerpb.Class_value["CLASS_"+strings.ToUpper(r.Class)])
	left := r.Deadline - time.Since(r.Begin)
	if r.Execute {
		_, err := x.client.Execute(ctx, &callerpb.ExecuteRequest{
			RequestId: r.ID, Caller: r.Caller, Service: r.Services[0], Payload: []byte(r.Query), Class: class,
			DeadlineMs: max(1, left.Milliseconds()), Resent: r.Resent,
		})
		return err
	}
	least := 1.0
	if !r.All {
		least = 0.5
	}
	stream, err := x.client.Search(ctx, &callerpb.SearchRequest{
		RequestId: r.ID, Caller: r.Caller, Services: r.Services, Query: r.Query, Class: class,
		DeadlineMs: max(1, left.Milliseconds()), LeastCoverage: &least, Resent: r.Resent,
	})
	if err != nil {
		return err
	}
	return receive(stream, r)
}

// receive reads an answer to its end and notes frames that are wrong.
func receive(stream grpc.ServerStreamingClient[callerpb.SearchReply], r *Record) error {
	r.Matches = nil
	for chunk := uint32(0); ; chunk++ {
		p, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return status.Error(codes.DataLoss, "answer ended early")
		}
		if err != nil {
			return err
		}
		if p.RequestId != r.ID {
			r.Broken = fmt.Sprintf("frame of request %q", p.RequestId)
		}
		if p.Chunk != chunk {
			r.Broken = fmt.Sprintf("chunk %d instead of %d", p.Chunk, chunk)
		}
		for _, m := range p.Matches {
			r.Matches = append(r.Matches, Match{m.Service, m.Shard, m.Record, m.Text})
		}
		if p.Summary == nil {
			continue
		}
		if p.Summary.Chunks != chunk || p.Summary.Matches != uint64(len(r.Matches)) {
			r.Broken = "summary does not fit the frames"
		}
		r.Summary = p.Summary
		return nil
	}
}

// note fills in how a request failed and tells whether another instance may
// be tried: only if it is certain that nothing was run.
func note(r *Record, err error) (again bool) {
	s := status.Convert(err)
	r.Message = s.Message()
	for _, d := range s.Details() {
		if x, ok := d.(*callerpb.Refusal); ok {
			r.End, r.Reason, r.Outcome = Refused, x.Reason, x.Outcome
			stopping := x.Reason == callerpb.Reason_REASON_STOPPING || x.Reason == callerpb.Reason_REASON_NOT_READY
			return stopping && x.Outcome == callerpb.Outcome_OUTCOME_NOT_RUN
		}
	}
	r.End = Cut
	return dial.IsRefused(err)
}
