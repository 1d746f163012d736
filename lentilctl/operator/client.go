// Package operator implements the commands for operators: it calls the operator
// interface of instances and prints the replies.
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

// Errors of commands that change the configuration.
var (
	// ErrConflict means that the subject of the change was changed after the
	// revision that the change is based on.
	ErrConflict = merry.Sentinel("conflict")
	// ErrOutcomeUnknown means that the change may or may not have been accepted.
	ErrOutcomeUnknown = merry.Sentinel("outcome unknown")
)

// anyRevision is the FromRevision of a change that is applied to the newest revision
// without a check for conflicts.
const anyRevision = -1

// Client calls its instances in order until one is available. It uses ChangeID,
// FromRevision and Author for changes only.
type Client struct {
	Instances    []string
	ChangeID     string
	FromRevision int64
	Author       string
}

// callAny calls one instance after another until one is available. A change may be
// sent to several of them, since its id prevents it from being applied twice.
func (c *Client) callAny(timeout time.Duration, call func(context.Context, operatorpb.OperatorClient) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var lastErr error
	for _, address := range c.Instances {
		err := callInstance(ctx, address, call)
		if err == nil {
			return nil
		}
		lastErr = describeError(address, err)
		if status.Code(err) != codes.Unavailable {
			return lastErr
		}
	}
	return lastErr
}

func callInstance(ctx context.Context, address string, call func(context.Context, operatorpb.OperatorClient) error) error {
	conn, err := dial.NewFromString(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return call(ctx, operatorpb.NewOperatorClient(conn))
}

// describeError converts the error of a call to one for the user, which names the
// cause and, where there is one, the remedy.
func describeError(address string, err error) error {
	s := status.Convert(err)
	switch s.Code() {
	case codes.Aborted:
		message := s.Message()
		for _, d := range s.Details() {
			if conflict, ok := d.(*operatorpb.Conflict); ok {
				for _, h := range conflict.Since {
					message += fmt.Sprintf("\n  revision %d by %q: %s", h.Revision, h.Author, h.Summary)
				}
			}
		}
		return merry.Prepend(ErrConflict, message+"\nreview this change, then repeat yours based on the newest revision")
	case codes.Unknown, codes.DeadlineExceeded, codes.Canceled:
		return merry.Prepend(ErrOutcomeUnknown, s.Message())
	case codes.Unavailable:
		if dial.IsConnectionRefused(err) {
			return merry.Errorf("instance %s is down; specify another one with --instance", address)
		}
	}
	return merry.Errorf("instance %s: %s", address, s.Message())
}

// newChange returns the fields that all kinds of changes have. Its id is that of
// the command, generated if absent, followed by suffix.
func (c *Client) newChange(suffix string) *operatorpb.Change {
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
