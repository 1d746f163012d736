package backend

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/blackboard"
)

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

// waiter is one task that waits for a server.
type waiter struct {
	holders  []*blackboard.Server
	tried    []*blackboard.Server
	class    blackboard.Class
	deadline time.Time
	granted  chan *blackboard.Server
	// settled is set once by the one who grants or gives up.
	settled atomic.Bool
}

// queue orders the tasks that wait for the servers of one service by class,
// then by deadline. One goroutine owns the lists.
type queue struct {
	arrivals chan *waiter
	wakes    chan *blackboard.Server
	// waiting counts the tasks that wait, by class.
	waiting [blackboard.Classes]atomic.Int64
	lists   [blackboard.Classes][]*waiter
	turn    int
}

func newQueue() *queue {
	return &queue{
		arrivals: make(chan *waiter, wakeBuffer),
		wakes:    make(chan *blackboard.Server, wakeBuffer),
	}
}

// wake reports room on a server.
func (q *queue) wake(s *blackboard.Server) {
	if q.ahead(blackboard.Background) == 0 {
		return
	}
	select {
	case q.wakes <- s:
	default:
	}
}

// ahead returns the number of tasks that go before a new one of a class.
func (q *queue) ahead(class blackboard.Class) int64 {
	var n int64
	for c := range class + 1 {
		n += q.waiting[c].Load()
	}
	return n
}

// wait returns a server with a place taken, or the context's error.
func (q *queue) wait(ctx context.Context, w *waiter) (*blackboard.Server, error) {
	if q.ahead(blackboard.Background) >= maxWaiting {
		return nil, ErrOverloaded
	}
	q.waiting[w.class].Add(1)
	defer q.waiting[w.class].Add(-1)
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
func (q *queue) run(ctx context.Context) {
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

func (q *queue) insert(w *waiter) {
	list := q.lists[w.class]
	i, _ := slices.BinarySearchFunc(list, w, func(a, b *waiter) int { return a.deadline.Compare(b.deadline) })
	q.lists[w.class] = slices.Insert(list, i, w)
}

func (q *queue) empty() bool {
	for _, list := range q.lists {
		if len(list) > 0 {
			return false
		}
	}
	return true
}

// serve grants places on a server, or on any if it is nil, in order.
func (q *queue) serve(s *blackboard.Server) {
	q.turn++
	order := [blackboard.Classes]blackboard.Class{blackboard.Urgent, blackboard.Interactive, blackboard.Background}
	if q.turn%fairTurn == 0 {
		slices.Reverse(order[:])
	}
	for _, class := range order {
		q.lists[class] = slices.DeleteFunc(q.lists[class], func(w *waiter) bool {
			return w.settled.Load() || grant(w, s)
		})
	}
}

// grant gives a waiter a place, on the server if it is not nil.
func grant(w *waiter, s *blackboard.Server) bool {
	if s != nil && !slices.Contains(w.holders, s) {
		return false
	}
	got := tryAcquire(w.holders, w.tried, w.class)
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

// queues has the queue of each service.
type queues struct {
	ctx       context.Context
	byService sync.Map
}

// of returns the queue of a service and starts it if there is none.
func (q *queues) of(service string) *queue {
	if x, ok := q.byService.Load(service); ok {
		return x.(*queue)
	}
	x, loaded := q.byService.LoadOrStore(service, newQueue())
	if !loaded {
		go x.(*queue).run(q.ctx)
	}
	return x.(*queue)
}
