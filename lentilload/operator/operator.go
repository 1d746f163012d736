// Package operator sends the configuration changes of an experiment and
// measures how long they take to be in force on all instances.
package operator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/schema/dial"
	"lentilward.org/schema/operatorpb"
)

const (
	// pollInterval is the time between two polls of the instances' configuration
	// revisions, and the step of the linear backoff between resends of a change.
	pollInterval = 20 * time.Millisecond
	// inForceTimeout is the longest wait for a change to be in force.
	inForceTimeout = 20 * time.Second
	// callTimeout is the timeout of one call to an instance.
	callTimeout = 3 * time.Second
	// maxSends is the maximum number of times that one change is sent.
	maxSends = 10
)

// AcceptedChange is a configuration change that an instance accepted.
type AcceptedChange struct {
	ID         string
	Revision   uint64
	AcceptedAt time.Time
	// InForceDelay is the time from acceptance until every instance that answers
	// has the change in force, or until polling ended after inForceTimeout.
	InForceDelay time.Duration
	// DataCentre and Withdrawn are set if the change withdraws a data centre or
	// returns it to service.
	DataCentre string
	Withdrawn  bool
}

// Operators sends configuration changes to the instances in turn.
type Operators struct {
	clients []operatorpb.OperatorClient

	mu           sync.Mutex
	accepted     []AcceptedChange
	inForcePolls sync.WaitGroup
}

// New returns operators that use the instances' operator addresses. It fails if
// an address is invalid.
func New(addresses []string) (*Operators, error) {
	o := &Operators{}
	for _, a := range addresses {
		conn, err := dial.NewFromString(a)
		if err != nil {
			return nil, err
		}
		o.clients = append(o.clients, operatorpb.NewOperatorClient(conn))
	}
	return o, nil
}

// SetDataCentre withdraws a data centre or returns it to service. It fails if
// no instance accepts the change.
func (o *Operators) SetDataCentre(ctx context.Context, id, name string, withdrawn bool) error {
	return o.sendChange(ctx, AcceptedChange{ID: id, DataCentre: name, Withdrawn: withdrawn}, func(ctx context.Context, c operatorpb.OperatorClient) (*operatorpb.ChangeReply, error) {
		return c.SetDataCentre(ctx, &operatorpb.SetDataCentreRequest{
			Change: &operatorpb.Change{ChangeId: id, Author: "experiment"}, Name: name, Withdrawn: withdrawn,
		})
	})
}

// RaceChanges changes the priority of a service every 300 ms until the context
// ends. Several racers on the same service make conflicting changes.
func (o *Operators) RaceChanges(ctx context.Context, racer int, service *operatorpb.Service) {
	const changeInterval = 300 * time.Millisecond
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("race-%d-%d", racer, n)
		service.Priority = uint32(n % 10)
		o.sendChange(ctx, AcceptedChange{ID: id}, func(ctx context.Context, c operatorpb.OperatorClient) (*operatorpb.ChangeReply, error) {
			return c.PutService(ctx, &operatorpb.PutServiceRequest{
				Change: &operatorpb.Change{ChangeId: id, Author: fmt.Sprintf("racer-%d", racer)}, Service: service,
			})
		})
		time.Sleep(changeInterval)
	}
}

// sendChange sends a change to one instance after another, under the same
// change id, until an instance accepts or rejects it. After an error that leaves
// the outcome unknown it sends the change again, up to maxSends times in all.
func (o *Operators) sendChange(ctx context.Context, change AcceptedChange, send func(context.Context, operatorpb.OperatorClient) (*operatorpb.ChangeReply, error)) error {
	var lastErr error
	for i := range maxSends {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := send(callCtx, o.clients[i%len(o.clients)])
		cancel()
		if err == nil {
			change.Revision, change.AcceptedAt = reply.Revision, time.Now()
			o.measureInForceDelay(change)
			return nil
		}
		lastErr = err
		switch status.Code(err) {
		case codes.Unavailable, codes.Unknown, codes.DeadlineExceeded:
			time.Sleep(time.Duration(i) * pollInterval)
			continue
		}
		return merry.Wrap(err)
	}
	return merry.Wrap(lastErr)
}

// measureInForceDelay polls in the background, at most for inForceTimeout, until
// every instance that answers has the revision, and then adds the change to the
// accepted ones.
func (o *Operators) measureInForceDelay(change AcceptedChange) {
	o.inForcePolls.Go(func() {
		deadline := time.Now().Add(inForceTimeout)
		for !o.isInForce(change.Revision) && time.Now().Before(deadline) {
			time.Sleep(pollInterval)
		}
		change.InForceDelay = time.Since(change.AcceptedAt)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.accepted = append(o.accepted, change)
	})
}

func (o *Operators) isInForce(revision uint64) bool {
	for _, c := range o.clients {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		r, err := c.GetStatus(ctx, &operatorpb.GetStatusRequest{MembersOnly: true})
		cancel()
		if err == nil && r.ConfigRevision < revision {
			return false
		}
	}
	return true
}

// AcceptedChanges returns all accepted changes. It blocks until each is in force
// or has exceeded inForceTimeout.
func (o *Operators) AcceptedChanges() []AcceptedChange {
	o.inForcePolls.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.accepted
}

// Configs returns the configuration of each instance that answers.
func (o *Operators) Configs(ctx context.Context) []*operatorpb.GetConfigReply {
	var configs []*operatorpb.GetConfigReply
	for _, c := range o.clients {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if r, err := c.GetConfig(callCtx, &operatorpb.GetConfigRequest{}); err == nil {
			configs = append(configs, r)
		}
		cancel()
	}
	return configs
}

// Histories returns the change history of each instance that answers.
func (o *Operators) Histories(ctx context.Context) [][]*operatorpb.HistoryEntry {
	var histories [][]*operatorpb.HistoryEntry
	for _, c := range o.clients {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if r, err := c.GetHistory(callCtx, &operatorpb.GetHistoryRequest{}); err == nil {
			histories = append(histories, r.Entries)
		}
		cancel()
	}
	return histories
}
