// Package operator calls the operator interface of instances.
package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/schema/dial"
	"lentilward.org/schema/operatorpb"
)

// Errors of changes.
var (
	// ErrConflict means that another change came first.
	ErrConflict = merry.Sentinel("conflict")
	// ErrUncertain means that the change may or may not be accepted.
	ErrUncertain = merry.Sentinel("outcome unknown")
)

// anyRevision stands for the newest revision.
const anyRevision = -1

// Client calls the first instance that answers.
type Client struct {
	Instances    []string
	ChangeID     string
	FromRevision int64
	Author       string
}

// try calls one instance after another until one answers. A change may be sent
// again, since its id makes it the same change.
func (c *Client) try(timeout time.Duration, call func(context.Context, operatorpb.OperatorClient) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var last error
	for _, address := range c.Instances {
		err := callOne(ctx, address, call)
		if err == nil {
			return nil
		}
		last = explain(address, err)
		if status.Code(err) != codes.Unavailable {
			return last
		}
	}
	return last
}

func callOne(ctx context.Context, address string, call func(context.Context, operatorpb.OperatorClient) error) error {
	conn, err := dial.Parse(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return call(ctx, operatorpb.NewOperatorClient(conn))
}

// explain says what happened and what to do.
func explain(address string, err error) error {
	s := status.Convert(err)
	switch s.Code() {
	case codes.Aborted:
		text := s.Message()
		for _, d := range s.Details() {
			if conflict, ok := d.(*operatorpb.Conflict); ok {
				for _, h := range conflict.Since {
					text += fmt.Sprintf("\n  revision %d by %q: %s", h.Revision, h.Author, h.Summary)
				}
			}
		}
		return merry.Prepend(ErrConflict, text+"\nlook at the change and make yours again from the newest revision")
	case codes.Unknown, codes.DeadlineExceeded, codes.Canceled:
		return merry.Prepend(ErrUncertain, s.Message())
	case codes.Unavailable:
		if dial.IsRefused(err) {
			return merry.Errorf("instance %s is down; name another one with --instance", address)
		}
	}
	return merry.Errorf("instance %s: %s", address, s.Message())
}

// change makes the common part of a change.
func (c *Client) change(suffix string) *operatorpb.Change {
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	change := &operatorpb.Change{ChangeId: c.ChangeID + suffix, Author: c.Author}
	if c.FromRevision > anyRevision {
		revision := uint64(c.FromRevision)
		change.FromRevision = &revision
	}
	return change
}
