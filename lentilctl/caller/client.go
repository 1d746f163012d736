// Package caller sends requests to the caller interface of instances.
package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilctl/render"
	"lentilward.org/schema/callerpb"
	"lentilward.org/schema/dial"
)

// Errors by what is certain about the request.
var (
	// ErrNotRun means that nothing was run.
	ErrNotRun = merry.Sentinel("not run")
	// ErrUncertain means that the request ran, or may have run, without a
	// whole answer.
	ErrUncertain = merry.Sentinel("ran or may have run")
)

// Client sends requests to the first instance that takes them.
type Client struct {
	Instances []string
	Caller    string
	Class     string
	RequestID string
}

// Search is one search.
type Search struct {
	Services      []string
	Query         string
	LeastCoverage float64
	Matches       int
}

// answer is a whole answer as it is printed.
type answer struct {
	Matches []*callerpb.Match `json:"matches"`
	Summary *callerpb.Summary `json:"summary"`
}

// Search runs a search and prints the answer.
func (c *Client) Search(timeout time.Duration, s Search, p *render.Printer) error {
	if len(s.Services) == 0 {
		s.Services = []string{"*"}
	}
	r := &callerpb.SearchRequest{
		RequestId: c.id(), Caller: c.Caller, Services: s.Services, Query: s.Query, Class: c.class(),
		DeadlineMs: timeout.Milliseconds(), LeastCoverage: &s.LeastCoverage,
	}
	var a *answer
	err := c.try(timeout, func(ctx context.Context, client callerpb.CallerClient) error {
		stream, err := client.Search(ctx, r)
		if err != nil {
			return err
		}
		a, err = receive(stream)
		return err
	})
	if err != nil {
		return err
	}
	return printAnswer(a, s.Matches, p)
}

// receive reads the chunks of an answer and checks that it is whole.
func receive(stream grpc.ServerStreamingClient[callerpb.SearchReply]) (*answer, error) {
	a := &answer{}
	for chunk := uint32(0); ; chunk++ {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, merry.Prepend(ErrUncertain, "answer ended early")
		}
		if err != nil {
			return nil, err
		}
		if r.Chunk != chunk {
			return nil, merry.Prependf(ErrUncertain, "chunk %d came instead of %d", r.Chunk, chunk)
		}
		a.Matches = append(a.Matches, r.Matches...)
		if r.Summary == nil {
			continue
		}
		if r.Summary.Chunks != chunk || r.Summary.Matches != uint64(len(a.Matches)) {
			return nil, merry.Prepend(ErrUncertain, "answer is not whole")
		}
		a.Summary = r.Summary
		return a, nil
	}
}

func printAnswer(a *answer, limit int, p *render.Printer) error {
	var rows [][]string
	for _, m := range a.Matches[:min(limit, len(a.Matches))] {
		rows = append(rows, []string{
			fmt.Sprintf("%.4f", m.Score), m.Service, fmt.Sprint(m.Shard), fmt.Sprintf("%016x", m.Record), m.Text,
		})
	}
	if err := p.Print(a, []string{"SCORE", "SERVICE", "SHARD", "RECORD", "TEXT"}, rows); err != nil {
		return err
	}
	s := a.Summary
	p.Line("%d matches; coverage %d of %d shards in %d services; %d attempts, %d hedges; %.1f ms; answered by %s at revision %d",
		s.Matches, s.ShardsCovered, s.ShardsTotal, len(s.Services), s.Attempts, s.Hedges,
		float64(s.ElapsedUs)/1000, s.Instance, s.ConfigRevision)
	p.Line("snapshot: %s", snapshot(s.Services))
	return nil
}

// snapshot names the versions that an answer came from, with the services
// counted that share one.
func snapshot(services []*callerpb.ServiceCoverage) string {
	counts := make(map[uint64]int)
	var order []uint64
	for _, s := range services {
		if counts[s.Version] == 0 {
			order = append(order, s.Version)
		}
		counts[s.Version]++
	}
	var parts []string
	for _, v := range order {
		parts = append(parts, fmt.Sprintf("version %d of %d services", v, counts[v]))
	}
	return strings.Join(parts, ", ")
}

// Execute runs a non-idempotent request and prints its result.
func (c *Client) Execute(timeout time.Duration, service, payload string, p *render.Printer) error {
	r := &callerpb.ExecuteRequest{
		RequestId: c.id(), Caller: c.Caller, Service: service, Payload: []byte(payload), Class: c.class(),
		DeadlineMs: timeout.Milliseconds(),
	}
	var reply *callerpb.ExecuteReply
	err := c.try(timeout, func(ctx context.Context, client callerpb.CallerClient) error {
		var err error
		reply, err = client.Execute(ctx, r)
		return err
	})
	if err != nil {
		return err
	}
	return p.Print(reply, []string{"REQUEST", "RESULT", "INSTANCE"},
		[][]string{{reply.RequestId, string(reply.Result), reply.Instance}})
}

// try sends the request to one instance after another, as long as it is
// certain that it was not run.
func (c *Client) try(timeout time.Duration, send func(context.Context, callerpb.CallerClient) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var last error
	for _, address := range c.Instances {
		conn, err := dial.Parse(address)
		if err != nil {
			return err
		}
		err = send(ctx, callerpb.NewCallerClient(conn))
		conn.Close()
		if err == nil {
			return nil
		}
		last = explain(address, err)
		if !elsewhere(err) {
			return last
		}
	}
	return last
}

// elsewhere tells whether another instance may do what this one did not.
func elsewhere(err error) bool {
	r, ok := refusal(err)
	if !ok {
		return dial.IsRefused(err)
	}
	if r.Outcome != callerpb.Outcome_OUTCOME_NOT_RUN {
		return false
	}
	switch r.Reason {
	case callerpb.Reason_REASON_STOPPING, callerpb.Reason_REASON_NOT_READY, callerpb.Reason_REASON_OVERLOADED,
		callerpb.Reason_REASON_UNAVAILABLE:
		return true
	}
	return false
}

// explain says what happened and what to do.
func explain(address string, err error) error {
	r, ok := refusal(err)
	if !ok {
		if elsewhere(err) {
			return merry.Prependf(ErrNotRun, "instance %s is down; name another one with --instance", address)
		}
		if errors.Is(err, ErrUncertain) {
			return err
		}
		return merry.Prependf(ErrUncertain, "instance %s: %s", address, status.Convert(err).Message())
	}
	text := fmt.Sprintf("%s (%s)", r.Message, strings.ToLower(strings.TrimPrefix(r.Reason.String(), "REASON_")))
	if r.RetryAfterMs > 0 {
		text += fmt.Sprintf("; try again in %d ms", r.RetryAfterMs)
	}
	if r.Outcome == callerpb.Outcome_OUTCOME_NOT_RUN {
		return merry.Prepend(ErrNotRun, text)
	}
	return merry.Prepend(ErrUncertain, text)
}

func refusal(err error) (*callerpb.Refusal, bool) {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*callerpb.Refusal); ok {
			return r, true
		}
	}
	return nil, false
}

func (c *Client) id() string {
	if c.RequestID == "" {
		c.RequestID = uuid.NewString()
	}
	return c.RequestID
}

func (c *Client) class() callerpb.Class {
	return callerpb.Class(callerpb.Class_value["CLASS_"+strings.ToUpper(c.Class)])
}
