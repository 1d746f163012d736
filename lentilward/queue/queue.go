// Package queue chooses backend servers for tasks, and queues the tasks that
// wait for a slot on a server.
package queue

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilward/blackboard"
)

// ErrOverloaded means that too many tasks are waiting for the service.
var ErrOverloaded = merry.Sentinel("too many requests are waiting")

const (
	// maxWaiting bounds the tasks that wait for one service.
	maxWaiting = 2048
	// roundsPerReversal is the number of rounds of which one serves the classes
	// in reverse order, so that the least urgent class is not starved.
	roundsPerReversal = 10
	// rescanPeriod is the interval at which a queue with waiters looks for free
	// slots that were not signalled.
	rescanPeriod = 20 * time.Millisecond
	// channelCapacity is the capacity of a queue's channels for arrivals and
	// for signals of free slots.
	channelCapacity = 64
)

// Waiter is one task that waits for a slot on a server.
type Waiter struct {
	// Holders are the servers that can run the task, Tried those that must not
	// be chosen again.
	Holders  []*blackboard.Server
	Tried    []*blackboard.Server
	Class    blackboard.Class
	Deadline time.Time
	granted  chan *blackboard.Server
	// settled is set once: by the queue when it grants a slot, or by the waiter
	// when it gives up, whichever is first.
	settled atomic.Bool
}

// Queue orders the tasks that wait for the servers of one service by class,
// then by deadline. The channel freed receives the servers that may have a free
// slot. Only the goroutine of run accesses waiters and rounds.
type Queue struct {
	arrivals chan *Waiter
	freed    chan *blackboard.Server
	// waiting counts the waiting tasks by class.
	waiting [blackboard.ClassCount]atomic.Int64
	waiters [blackboard.ClassCount][]*Waiter
	rounds  int
}

func newQueue() *Queue {
	return &Queue{
		arrivals: make(chan *Waiter, channelCapacity),
		freed:    make(chan *blackboard.Server, channelCapacity),
	}
}

// Wake signals that a server may have a free slot. It does not block: a signal
// that does not fit in the channel is dropped, and the next rescan finds the
// slot.
func (q *Queue) Wake(s *blackboard.Server) {
	if q.CountAhead(blackboard.Background) == 0 {
		return
	}
	select {
	case q.freed <- s:
	default:
	}
}

// CountAhead returns the number of waiting tasks that are served before a new
// task of a class.
func (q *Queue) CountAhead(class blackboard.Class) int64 {
	var n int64
	for c := range class + 1 {
		n += q.waiting[c].Load()
	}
	return n
}

// Wait waits for a slot and returns the server on which it was acquired. It
// returns ErrOverloaded if the queue is full, or the context's error.
func (q *Queue) Wait(ctx context.Context, w *Waiter) (*blackboard.Server, error) {
	w.granted = make(chan *blackboard.Server, 1)
	if q.CountAhead(blackboard.Background) >= maxWaiting {
		return nil, ErrOverloaded
	}
	q.waiting[w.Class].Add(1)
	defer q.waiting[w.Class].Add(-1)
	select {
	case q.arrivals <- w:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case s := <-w.granted:
		return s, nil
	case <-ctx.Done():
	}
	if w.settled.CompareAndSwap(false, true) {
		return nil, ctx.Err()
	}
	return <-w.granted, nil
}

// run grants slots to the waiters until the context ends.
func (q *Queue) run(ctx context.Context) {
	rescan := time.NewTicker(rescanPeriod)
	defer rescan.Stop()
	for {
		if q.isEmpty() {
			rescan.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case w := <-q.arrivals:
			if !tryGrant(w, nil) {
				q.insert(w)
				rescan.Reset(rescanPeriod)
			}
		case s := <-q.freed:
			q.grantSlots(s)
		case <-rescan.C:
			q.grantSlots(nil)
		}
	}
}

func (q *Queue) insert(w *Waiter) {
	list := q.waiters[w.Class]
	i, _ := slices.BinarySearchFunc(list, w, func(a, b *Waiter) int { return a.Deadline.Compare(b.Deadline) })
	q.waiters[w.Class] = slices.Insert(list, i, w)
}

func (q *Queue) isEmpty() bool {
	for _, list := range q.waiters {
		if len(list) > 0 {
			return false
		}
	}
	return true
}

// grantSlots grants the free slots of a server, or of all servers if it is nil,
// to the waiters in order.
func (q *Queue) grantSlots(s *blackboard.Server) {
	q.rounds++
	order := [blackboard.ClassCount]blackboard.Class{blackboard.Urgent, blackboard.Interactive, blackboard.Background}
	if q.rounds%roundsPerReversal == 0 {
		slices.Reverse(order[:])
	}
	for _, class := range order {
		q.waiters[class] = slices.DeleteFunc(q.waiters[class], func(w *Waiter) bool {
			return w.settled.Load() || tryGrant(w, s)
		})
	}
}

// tryGrant tries to acquire a slot for a waiter and reports whether the waiter can
// leave the queue. If a server is given, it skips a waiter whose holders do not
// include that server.
func tryGrant(w *Waiter, s *blackboard.Server) bool {
	if s != nil && !slices.Contains(w.Holders, s) {
		return false
	}
	acquired := TryAcquire(w.Holders, w.Tried, w.Class)
	if acquired == nil {
		return false
	}
	if !w.settled.CompareAndSwap(false, true) {
		acquired.InFlight.Add(-1)
		return true
	}
	w.granted <- acquired
	return true
}

// Set holds one queue per service.
type Set struct {
	ctx       context.Context
	byService sync.Map
}

// NewSet returns an empty set. Its queues run until the context ends.
func NewSet(ctx context.Context) *Set {
	return &Set{ctx: ctx}
}

// ForService returns the queue of a service, and creates and starts it on first
// use.
func (q *Set) ForService(service string) *Queue {
	if existing, ok := q.byService.Load(service); ok {
		return existing.(*Queue)
	}
	stored, loaded := q.byService.LoadOrStore(service, newQueue())
	if !loaded {
		go stored.(*Queue).run(q.ctx)
	}
	return stored.(*Queue)
}
