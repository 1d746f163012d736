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
	maxRequestIDBytes  = 64
	maxCallerNameBytes = 64
	maxPayloadBytes    = 1 << 20
	maxServices        = 4096
	maxTimeout         = time.Minute
	defaultTimeout     = time.Second
	// answerMargin is the time reserved before the deadline for sending the
	// answer.
	answerMargin = 2 * time.Millisecond
	allServices  = "*"
)

// requestKey identifies a request in flight.
type requestKey struct {
	caller string
	id     string
}

// admission checks requests before any call is made for them.
type admission struct {
	board    *blackboard.Board
	inFlight sync.Map
}

// admit refuses a request that is malformed, that is in flight already, or that
// arrives while the instance is not serving. The function returned must be
// called at the end of the request.
func (a *admission) admit(caller, id string) (endRequest func(), _ *domain.Refusal) {
	if id == "" || len(id) > maxRequestIDBytes {
		return nil, notRunRefusal(domain.Malformed, "request-id: want 1 to %d bytes", maxRequestIDBytes)
	}
	if caller == "" || len(caller) > maxCallerNameBytes {
		return nil, notRunRefusal(domain.Malformed, "caller: want 1 to %d bytes", maxCallerNameBytes)
	}
	switch a.board.LocalInstance.Load().Phase {
	case blackboard.Starting:
		return nil, notRunRefusal(domain.NoConfiguration, "instance has no configuration yet")
	case blackboard.Stopping:
		return nil, notRunRefusal(domain.Stopping, "instance is stopping; use another one")
	}
	key := requestKey{caller, id}
	if _, exists := a.inFlight.LoadOrStore(key, true); exists {
		return nil, notRunRefusal(domain.Duplicate, "request %q is in flight", id)
	}
	return func() { a.inFlight.Delete(key) }, nil
}

// answerDeadline returns when the answer must be ready: answerMargin before the
// earlier of the deadlines of the request and of the RPC. Without either it
// applies defaultTimeout.
func answerDeadline(ctx context.Context, timeLeft time.Duration, now time.Time) (time.Time, *domain.Refusal) {
	due := now.Add(defaultTimeout)
	rpcDeadline, hasDeadline := ctx.Deadline()
	switch {
	case timeLeft < 0 || hasDeadline && !rpcDeadline.After(now):
		return due, notRunRefusal(domain.TimedOut, "deadline has passed")
	case timeLeft > 0:
		due = now.Add(min(timeLeft, maxTimeout))
	case hasDeadline:
		due = rpcDeadline
	}
	if hasDeadline && rpcDeadline.Before(due) {
		due = rpcDeadline
	}
	return due.Add(-answerMargin), nil
}

// selectServices returns the routes of the named services in the order of their
// names, each once. It refuses a request that names an unknown service.
func selectServices(routes *blackboard.Routes, names []string) ([]*blackboard.ServiceRoutes, *domain.Refusal) {
	if len(names) == 0 || len(names) > maxServices {
		return nil, notRunRefusal(domain.Malformed, "services: want 1 to %d names", maxServices)
	}
	if slices.Contains(names, allServices) {
		names = names[:0:0]
		for name := range routes.Services {
			names = append(names, name)
		}
		if len(names) == 0 {
			return nil, notRunRefusal(domain.NoRoute, "there are no services")
		}
	}
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	selected := make([]*blackboard.ServiceRoutes, 0, len(names))
	for _, name := range names {
		r := routes.Services[name]
		if r == nil {
			return nil, notRunRefusal(domain.NoRoute, "unknown service %q", name)
		}
		selected = append(selected, r)
	}
	return selected, nil
}

const (
	// maxShardsInFlight bounds the shards that one instance searches
	// concurrently.
	maxShardsInFlight = 50_000
	// priorityCount is the number of service priorities.
	priorityCount = 10
)

// capacity bounds the shards that the instance searches concurrently. As it
// fills up, requests to services of low priority are refused first.
type capacity struct {
	shards    atomic.Int64
	maxShards int64
}

// reserve counts the shards of a request towards the capacity, or refuses the
// request. The function returned must be called at the end of the request.
func (c *capacity) reserve(services []*blackboard.ServiceRoutes, class blackboard.Class) (release func(), _ *domain.Refusal) {
	var shards, priority int64
	for _, r := range services {
		if r.PinnedVersion != nil {
			shards += int64(len(r.PinnedVersion.Holders))
		}
		priority = max(priority, int64(r.Service.Priority))
	}
	if class == blackboard.Urgent {
		priority = priorityCount - 1
	}
	// The lowest priority may use half the capacity, the highest all of it.
	maxShards := c.maxShards * (priorityCount + priority + 1) / (2 * priorityCount)
	if c.shards.Add(shards) > maxShards && shards > 0 {
		c.shards.Add(-shards)
		return nil, notRunRefusal(domain.Overloaded, "instance is at its capacity for priority %d", priority)
	}
	return func() { c.shards.Add(-shards) }, nil
}

// acquireLimits counts a request towards the limits of its services, or refuses
// the request if one is reached. The function returned must be called at the
// end of the request.
func acquireLimits(services []*blackboard.ServiceRoutes, caller string, class blackboard.Class) (release func(), _ *domain.Refusal) {
	var decrements []func()
	release = func() {
		for _, decrement := range decrements {
			decrement()
		}
	}
	for _, r := range services {
		for i, l := range r.Service.Limits {
			if l.Caller != "" && l.Caller != caller || l.Class != "" && l.Class != class.String() {
				continue
			}
			count := &r.State.InFlight[i]
			decrements = append(decrements, func() { count.Add(-1) })
			if count.Add(1) > int32(l.InFlight) {
				release()
				return nil, notRunRefusal(domain.Limited, "service %q: limit of %d in flight reached", r.Service.Name, l.InFlight)
			}
		}
	}
	return release, nil
}
