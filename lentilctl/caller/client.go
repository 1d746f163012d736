// Package caller implements the commands for callers: it sends requests to the
// caller interface of instances and prints the answers.
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

// Errors that state whether the request ran.
var (
	// ErrNotRun means that the request did not run.
	ErrNotRun = merry.Sentinel("not run")
	// ErrMayHaveRun means that the request ran or may have run, but that no
	// complete answer was received.
	ErrMayHaveRun = merry.Sentinel("ran or may have run")
)

// Client sends a request to its instances in order until one accepts it.
type Client struct {
	Instances []string
	Caller    string
	Class     string
	RequestID string
}

// SearchOptions are the parameters of the search command.
type SearchOptions struct {
	Services    []string
	Query       string
	MinCoverage float64
	MaxMatches  int
}

// answer is a complete answer to a search, as it is printed in JSON.
type answer struct {
	Matches []*callerpb.Match `json:"matches"`
	Summary *callerpb.Summary `json:"summary"`
}

// Search runs a search and prints the answer.
func (c *Client) Search(timeout time.Duration, options SearchOptions, p *render.Printer) error {
	if len(options.Services) == 0 {
		options.Services = []string{"*"}
	}
	r := &callerpb.SearchRequest{
		RequestId: c.ensureRequestID(), Caller: c.Caller, Services: options.Services, Query: options.Query, Class: c.class(),
		DeadlineMs: timeout.Milliseconds(), LeastCoverage: &options.MinCoverage,
	}
	var a *answer
	err := c.sendToAny(timeout, func(ctx context.Context, client callerpb.CallerClient) error {
		stream, err := client.Search(ctx, r)
		if err != nil {
			return err
		}
		a, err = receiveAnswer(stream)
		return err
	})
	if err != nil {
		return err
	}
	return printAnswer(a, options.MaxMatches, p)
}

// receiveAnswer reads the chunks of an answer. It returns ErrMayHaveRun if chunks or
// matches are missing.
func receiveAnswer(stream grpc.ServerStreamingClient[callerpb.SearchReply]) (*answer, error) {
	a := &answer{}
	for chunk := uint32(0); ; chunk++ {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, merry.Prepend(ErrMayHaveRun, "answer stream ended without a summary")
		}
		if err != nil {
			return nil, err
		}
		if r.Chunk != chunk {
			return nil, merry.Prependf(ErrMayHaveRun, "answer incomplete: received chunk %d, want %d", r.Chunk, chunk)
		}
		a.Matches = append(a.Matches, r.Matches...)
		if r.Summary == nil {
			continue
		}
		if r.Summary.Chunks != chunk || r.Summary.Matches != uint64(len(a.Matches)) {
			return nil, merry.Prepend(ErrMayHaveRun, "answer incomplete: number of chunks or matches differs from the summary")
		}
		a.Summary = r.Summary
		return a, nil
	}
}

func printAnswer(a *answer, maxMatches int, p *render.Printer) error {
	var rows [][]string
	for _, m := range a.Matches[:min(maxMatches, len(a.Matches))] {
		rows = append(rows, []string{
			fmt.Sprintf("%.4f", m.Score), m.Service, fmt.Sprint(m.Shard), fmt.Sprintf("%016x", m.Record), m.Text,
		})
	}
	if err := p.Print(a, []string{"SCORE", "SERVICE", "SHARD", "RECORD", "TEXT"}, rows); err != nil {
		return err
	}
	s := a.Summary
	p.PrintLine("%d matches; coverage %d of %d shards in %d services; %d attempts, %d hedges; %.1f ms; answered by %s at revision %d",
		s.Matches, s.ShardsCovered, s.ShardsTotal, len(s.Services), s.Attempts, s.Hedges,
		float64(s.ElapsedUs)/1000, s.Instance, s.ConfigRevision)
	p.PrintLine("snapshot: %s", formatSnapshot(s.Services))
	return nil
}

// formatSnapshot lists the index versions that an answer was computed from, each with
// the number of services at that version.
func formatSnapshot(services []*callerpb.ServiceCoverage) string {
	counts := make(map[uint64]int)
	var versions []uint64
	for _, s := range services {
		if counts[s.Version] == 0 {
			versions = append(versions, s.Version)
		}
		counts[s.Version]++
	}
	var parts []string
	for _, v := range versions {
		parts = append(parts, fmt.Sprintf("version %d of %d services", v, counts[v]))
	}
	return strings.Join(parts, ", ")
}

// Execute runs a non-idempotent request and prints its result.
func (c *Client) Execute(timeout time.Duration, service, payload string, p *render.Printer) error {
	r := &callerpb.ExecuteRequest{
		RequestId: c.ensureRequestID(), Caller: c.Caller, Service: service, Payload: []byte(payload), Class: c.class(),
		DeadlineMs: timeout.Milliseconds(),
	}
	var reply *callerpb.ExecuteReply
	err := c.sendToAny(timeout, func(ctx context.Context, client callerpb.CallerClient) error {
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

// sendToAny sends the request to one instance after another until one accepts it. It
// stops at an error after which the request may have run, or which another instance
// is expected to return too.
func (c *Client) sendToAny(timeout time.Duration, send func(context.Context, callerpb.CallerClient) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var lastErr error
	for _, address := range c.Instances {
		conn, err := dial.NewFromString(address)
		if err != nil {
			return err
		}
		err = send(ctx, callerpb.NewCallerClient(conn))
		conn.Close()
		if err == nil {
			return nil
		}
		lastErr = describeError(address, err)
		if !isRetryableElsewhere(err) {
			return lastErr
		}
	}
	return lastErr
}

// isRetryableElsewhere reports whether the request did not run and another instance
// may accept it.
func isRetryableElsewhere(err error) bool {
	r, ok := refusalDetail(err)
	if !ok {
		return dial.IsConnectionRefused(err)
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

// describeError converts the error of a call to ErrNotRun or ErrMayHaveRun, with a
// message that names the cause and, where there is one, the remedy.
func describeError(address string, err error) error {
	r, ok := refusalDetail(err)
	if !ok {
		if isRetryableElsewhere(err) {
			return merry.Prependf(ErrNotRun, "instance %s is down; specify another one with --instance", address)
		}
		if errors.Is(err, ErrMayHaveRun) {
			return err
		}
		return merry.Prependf(ErrMayHaveRun, "instance %s: %s", address, status.Convert(err).Message())
	}
	message := fmt.Sprintf("%s (%s)", r.Message, strings.ToLower(strings.TrimPrefix(r.Reason.String(), "REASON_")))
	if r.RetryAfterMs > 0 {
		message += fmt.Sprintf("; retry after %d ms", r.RetryAfterMs)
	}
	if r.Outcome == callerpb.Outcome_OUTCOME_NOT_RUN {
		return merry.Prepend(ErrNotRun, message)
	}
	return merry.Prepend(ErrMayHaveRun, message)
}

func refusalDetail(err error) (*callerpb.Refusal, bool) {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*callerpb.Refusal); ok {
			return r, true
		}
	}
	return nil, false
}

func (c *Client) ensureRequestID() string {
	if c.RequestID == "" {
		c.RequestID = uuid.NewString()
	}
	return c.RequestID
}

func (c *Client) class() callerpb.Class {
	return callerpb.Class(callerpb.Class_value["CLASS_"+strings.ToUpper(c.Class)])
}
