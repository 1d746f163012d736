// Package operator makes the configuration changes of an experiment and
// watches when they are in force.
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
	// watchPeriod is the time between two looks at a revision.
	watchPeriod = 20 * time.Millisecond
	// watchPatience bounds the wait for a change to be in force.
	watchPatience = 20 * time.Second
	// callTimeout bounds one call.
	callTimeout = 3 * time.Second
	// maxTries bounds the resends of one change.
	maxTries = 10
)

// Accepted is one change that the system accepted.
type Accepted struct {
	ID       string
	Revision uint64
	Time     time.Time
	// InForce is the time until every live instance had it.
	InForce time.Duration
	// DataCentre and Withdrawn describe a withdrawal or return.
	DataCentre string
	Withdrawn  bool
}

// Operators change the configuration through all instances.
type Operators struct {
	clients []operatorpb.OperatorClient

	mu       sync.Mutex
	accepted []Accepted
	watches  sync.WaitGroup
}

// New returns operators that use the instances' operator addresses.
func New(addresses []string) (*Operators, error) {
	o := &Operators{}
	for _, a := range addresses {
		conn, err := dial.Parse(a)
		if err != nil {
			return nil, err
		}
		o.clients = append(o.clients, operatorpb.NewOperatorClient(conn))
	}
	return o, nil
}

// SetDataCentre withdraws or returns a data centre.
func (o *Operators) SetDataCentre(ctx context.Context, id, name string, withdrawn bool) error {
	return o.change(ctx, Accepted{ID: id, DataCentre: name, Withdrawn: withdrawn}, func(ctx context.Context, c operatorpb.OperatorClient) (*operatorpb.ChangeReply, error) {
		return c.SetDataCentre(ctx, &operatorpb.SetDataCentreRequest{
			Change: &operatorpb.Change{ChangeId: id, Author: "experiment"}, Name: name, Withdrawn: withdrawn,
		})
	})
}

// Race changes the priority of a service again and again until the context
// ends.
func (o *Operators) Race(ctx context.Context, racer int, service *operatorpb.Service) {
	const pause = 300 * time.Millisecond
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("race-%d-%d", racer, n)
		service.Priority = uint32(n % 10)
		o.change(ctx, Accepted{ID: id}, func(ctx context.Context, c operatorpb.OperatorClient) (*operatorpb.ChangeReply, error) {
			return c.PutService(ctx, &operatorpb.PutServiceRequest{
				Change: &operatorpb.Change{ChangeId: id, Author: fmt.Sprintf("racer-%d", racer)}, Service: service,
			})
		})
		time.Sleep(pause)
	}
}

// change sends a change to one instance after another until its outcome is
// known.
func (o *Operators) change(ctx context.Context, a Accepted, call func(context.Context, operatorpb.OperatorClient) (*operatorpb.ChangeReply, error)) error {
	var last error
	for i := range maxTries {
		one, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := call(one, o.clients[i%len(o.clients)])
		cancel()
		if err == nil {
			a.Revision, a.Time = reply.Revision, time.Now()
			o.watch(a)
			return nil
		}
		last = err
		switch status.Code(err) {
		case codes.Unavailable, codes.Unknown, codes.DeadlineExceeded:
			time.Sleep(time.Duration(i) * watchPeriod)
			continue
		}
		return merry.Wrap(err)
	}
	return merry.Wrap(last)
}

// watch notes when every instance that answers has the revision.
func (o *Operators) watch(a Accepted) {
	o.watches.Go(func() {
		deadline := time.Now().Add(watchPatience)
		for !o.inForce(a.Revision) && time.Now().Before(deadline) {
			time.Sleep(watchPeriod)
		}
		a.InForce = time.Since(a.Time)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.accepted = append(o.accepted, a)
	})
}

func (o *Operators) inForce(revision uint64) bool {
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

// Accepted returns all accepted changes once they are in force.
func (o *Operators) Accepted() []Accepted {
	o.watches.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.accepted
}

// Config returns the configuration of each instance that answers.
func (o *Operators) Config(ctx context.Context) []*operatorpb.GetConfigReply {
	var configs []*operatorpb.GetConfigReply
	for _, c := range o.clients {
		one, cancel := context.WithTimeout(ctx, callTimeout)
		if r, err := c.GetConfig(one, &operatorpb.GetConfigRequest{}); err == nil {
			configs = append(configs, r)
		}
		cancel()
	}
	return configs
}

// History returns the remembered changes of each instance that answers.
func (o *Operators) History(ctx context.Context) [][]*operatorpb.HistoryEntry {
	var histories [][]*operatorpb.HistoryEntry
	for _, c := range o.clients {
		one, cancel := context.WithTimeout(ctx, callTimeout)
		if r, err := c.GetHistory(one, &operatorpb.GetHistoryRequest{}); err == nil {
			histories = append(histories, r.Entries)
		}
		cancel()
	}
	return histories
}
