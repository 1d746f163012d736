// Package queue orders the tasks that wait for backend servers and gives them
// places.
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

// ErrOverloaded means that too many tasks wait for the service.
var ErrOverloaded = merry.Sentinel("too many requests wait")

const (
	// maxWaiting bounds the requests that wait for one service.
	maxWaiting = 2048
	// fairTurn is how often the least urgent class goes first.
	fairTurn = 10
	// rescanPeriod is how soon a queue notices room that nobody reported.
	rescanPeriod = 20 * time.Millisecond
	// wakeBuffer is the number of reports of room that a queue holds.
	wakeBuffer = 64
)

// Waiter is one task that waits for a server.
type Waiter struct {
	// Holders are the servers that can run the task, Tried those that it must
	// not have again.
	Holders  []*blackboard.Server
	Tried    []*blackboard.Server
	Class    blackboard.Class
	Deadline time.Time
	granted  chan *blackboard.Server
	// settled is set once by the one who grants or gives up.
	settled atomic.Bool
}

// Queue orders the tasks that wait for the servers of one service by class,
// then by deadline. One goroutine owns the lists.
type Queue struct {
	arrivals chan *Waiter
	wakes    chan *blackboard.Server
	// waiting counts the tasks that wait, by class.
	waiting [blackboard.Classes]atomic.Int64
	lists   [blackboard.Classes][]*Waiter
	turn    int
}

func newQueue() *Queue {
	return &Queue{
		arrivals: make(chan *Waiter, wakeBuffer),
		wakes:    make(chan *blackboard.Server, wakeBuffer),
	}
}

// Wake reports room on a server.
func (q *Queue) Wake(s *blackboard.Server) {
	if q.Ahead(blackboard.Background) == 0 {
		return
	}
	select {
	case q.wakes <- s:
	default:
	}
}

// Ahead returns the number of tasks that go before a new one of a class.
func (q *Queue) Ahead(class blackboard.Class) int64 {
	var n int64
	for c := range class + 1 {
		n += q.waiting[c].Load()
	}
	return n
}

// Wait returns a server with a place taken, or the context's error.
func (q *Queue) Wait(ctx context.Context, w *Waiter) (*blackboard.Server, error) {
	w.granted = make(chan *blackboard.Server, 1)
	if q.Ahead(blackboard.Background) >= maxWaiting {
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

// run serves the queue until the context ends.
func (q *Queue) run(ctx context.Context) {
	rescan := time.NewTicker(rescanPeriod)
	defer rescan.Stop()
	for {
		if q.empty() {
			rescan.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case w := <-q.arrivals:
			if !grant(w, nil) {
				q.insert(w)
				rescan.Reset(rescanPeriod)
			}
		case s := <-q.wakes:
			q.serve(s)
		case <-rescan.C:
			q.serve(nil)
		}
	}
}

func (q *Queue) insert(w *Waiter) {
	list := q.lists[w.Class]
	i, _ := slices.BinarySearchFunc(list, w, func(a, b *Waiter) int { return a.Deadline.Compare(b.Deadline) })
	q.lists[w.Class] = slices.Insert(list, i, w)
}

func (q *Queue) empty() bool {
	for _, list := range q.lists {
		if len(list) > 0 {
			return false
		}
	}
	return true
}

// serve grants places on a server, or on any if it is nil, in order.
func (q *Queue) serve(s *blackboard.Server) {
	q.turn++
	order := [blackboard.Classes]blackboard.Class{blackboard.Urgent, blackboard.Interactive, blackboard.Background}
	if q.turn%fairTurn == 0 {
		slices.Reverse(order[:])
	}
	for _, class := range order {
		q.lists[class] = slices.DeleteFunc(q.lists[class], func(w *Waiter) bool {
			return w.settled.Load() || grant(w, s)
		})
	}
}

// grant gives a waiter a place, on the server if it is not nil.
func grant(w *Waiter, s *blackboard.Server) bool {
	if s != nil && !slices.Contains(w.Holders, s) {
		return false
	}
	got := TryAcquire(w.Holders, w.Tried, w.Class)
	if got == nil {
		return false
	}
	if !w.settled.CompareAndSwap(false, true) {
		got.InFlight.Add(-1)
		return true
	}
	w.granted <- got
	return true
}

// Set has the queue of each service.
type Set struct {
	ctx       context.Context
	byService sync.Map
}

// NewSet returns a set whose queues are served until the context ends.
func NewSet(ctx context.Context) *Set {
	return &Set{ctx: ctx}
}

// Of returns the queue of a service and starts it if there is none.
func (q *Set) Of(service string) *Queue {
	if x, ok := q.byService.Load(service); ok {
		return x.(*Queue)
	}
	x, loaded := q.byService.LoadOrStore(service, newQueue())
	if !loaded {
		go x.(*Queue).run(q.ctx)
	}
	return x.(*Queue)
}
