package caller

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

const (
	maxRequestID   = 64
	maxCallerName  = 64
	maxPayload     = 1 << 20
	maxServices    = 4096
	largestTimeout = time.Minute
	defaultTimeout = time.Second
	// answerMargin is kept from the deadline for sending the answer.
	answerMargin = 2 * time.Millisecond
	allServices  = "*"
)

// requestKey names a request in flight.
type requestKey struct {
	caller string
	id     string
}

// admission checks requests before anything is run for them.
type admission struct {
	board    *blackboard.Board
	inFlight sync.Map
}

// enter refuses a request that is malformed, in flight already or comes while
// the instance does not serve. Leave must be called at the request's end.
func (a *admission) enter(caller, id string) (leave func(), _ *domain.Refusal) {
	if id == "" || len(id) > maxRequestID {
		return nil, notRun(domain.Malformed, "request-id: want 1 to %d bytes", maxRequestID)
	}
	if caller == "" || len(caller) > maxCallerName {
		return nil, notRun(domain.Malformed, "caller: want 1 to %d bytes", maxCallerName)
	}
	switch a.board.Own.Load().Phase {
	case blackboard.Starting:
		return nil, notRun(domain.NoConfiguration, "instance has no configuration yet")
	case blackboard.Stopping:
		return nil, notRun(domain.Stopping, "instance is stopping; use another one")
	}
	key := requestKey{caller, id}
	if _, exists := a.inFlight.LoadOrStore(key, true); exists {
		return nil, notRun(domain.Duplicate, "request %q is in flight", id)
	}
	return func() { a.inFlight.Delete(key) }, nil
}

// deadline returns when the answer is due, from the request or from the RPC.
func deadline(ctx context.Context, left time.Duration, now time.Time) (time.Time, *domain.Refusal) {
	due := now.Add(defaultTimeout)
	rpc, bounded := ctx.Deadline()
	switch {
	case left < 0 || bounded && !rpc.After(now):
		return due, notRun(domain.TimedOut, "deadline has passed")
	case left > 0:
		due = now.Add(min(left, largestTimeout))
	case bounded:
		due = rpc
	}
	if bounded && rpc.Before(due) {
		due = rpc
	}
	return due.Add(-answerMargin), nil
}

// selectServices returns the routes of the named services, each once.
func selectServices(routes *blackboard.Routes, names []string) ([]*blackboard.ServiceRoutes, *domain.Refusal) {
	if len(names) == 0 || len(names) > maxServices {
		return nil, notRun(domain.Malformed, "services: want 1 to %d names", maxServices)
	}
	if slices.Contains(names, allServices) {
		names = names[:0:0]
		for name := range routes.Services {
			names = append(names, name)
		}
		if len(names) == 0 {
			return nil, notRun(domain.NoRoute, "there are no services")
		}
	}
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	selected := make([]*blackboard.ServiceRoutes, 0, len(names))
	for _, name := range names {
		r := routes.Services[name]
		if r == nil {
			return nil, notRun(domain.NoRoute, "unknown service %q", name)
		}
		selected = append(selected, r)
	}
	return selected, nil
}

const (
	// maxShardsInFlight bounds the shards that one instance searches at once.
	maxShardsInFlight = 50_000
	// priorities is the number of priorities of services.
	priorities = 10
)

// capacity bounds the work of the whole instance. As it fills up, requests to
// services of low priority are refused first.
type capacity struct {
	shards atomic.Int64
	most   int64
}

// enter counts the shards of a request. Leave must be called at its end.
func (c *capacity) enter(services []*blackboard.ServiceRoutes, class blackboard.Class) (leave func(), _ *domain.Refusal) {
	var shards, priority int64
	for _, r := range services {
		if r.Pin != nil {
			shards += int64(len(r.Pin.Holders))
		}
		priority = max(priority, int64(r.Service.Priority))
	}
	if class == blackboard.Urgent {
		priority = priorities - 1
	}
	// The lowest priority may fill half, the highest all.
	most := c.most * (priorities + priority + 1) / (2 * priorities)
	if c.shards.Add(shards) > most && shards > 0 {
		c.shards.Add(-shards)
		return nil, notRun(domain.Overloaded, "instance has too much work for priority %d", priority)
	}
	return func() { c.shards.Add(-shards) }, nil
}

// limit counts a request towards the limits of its services. Leave must be
// called at the request's end.
func limit(services []*blackboard.ServiceRoutes, caller string, class blackboard.Class) (leave func(), _ *domain.Refusal) {
	var taken []func()
	leave = func() {
		for _, give := range taken {
			give()
		}
	}
	for _, r := range services {
		for i, l := range r.Service.Limits {
			if l.Caller != "" && l.Caller != caller || l.Class != "" && l.Class != class.String() {
				continue
			}
			count := &r.State.InFlight[i]
			taken = append(taken, func() { count.Add(-1) })
			if count.Add(1) > int32(l.InFlight) {
				leave()
				return nil, notRun(domain.Limited, "service %q: limit of %d in flight reached", r.Service.Name, l.InFlight)
			}
		}
	}
	return leave, nil
}
