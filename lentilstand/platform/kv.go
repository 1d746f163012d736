// Package platform is the stand-in for the platform's key-value service and
// its instance list.
package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/schema/platformpb"
)

const (
	// maxValue is the size of the largest value, in bytes.
	maxValue = 1 << 20
	// writesPerSecond and readsPerSecond are the service's rates.
	writesPerSecond = 400
	readsPerSecond  = 2000
	// callTime is how long a call takes when all is well.
	callTime = 2 * time.Millisecond
	// maxWait bounds one Wait call.
	maxWait = 30 * time.Second
)

type entry struct {
	value    []byte
	revision uint64
	lease    uint64
}

// KeyValue is the key-value service.
type KeyValue struct {
	platformpb.UnimplementedKeyValueServer
	mu       sync.Mutex
	rand     *rand.Rand
	entries  map[string]entry
	leases   map[uint64]time.Time
	revision uint64
	changed  chan struct{}
	reads    bucket
	writes   bucket
	counts   Counts

	downUntil time.Time
	slowUntil time.Time
	slow      time.Duration
	loseUntil time.Time
	loseShare float64
}

// Counts are the calls that arrived.
type Counts struct {
	Reads, Writes, Waits, Refused uint64
}

// New returns an empty service.
func New(seed uint64) *KeyValue {
	return &KeyValue{
		rand:    rand.New(rand.NewPCG(seed, 0)),
		entries: make(map[string]entry),
		leases:  make(map[uint64]time.Time),
		changed: make(chan struct{}),
		reads:   bucket{rate: readsPerSecond, tokens: readsPerSecond},
		writes:  bucket{rate: writesPerSecond, tokens: writesPerSecond},
	}
}

// Counts returns the calls so far.
func (k *KeyValue) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// Outage makes every call fail for a while.
func (k *KeyValue) Outage(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.downUntil = time.Now().Add(d)
}

// Slow adds a delay to every call for a while.
func (k *KeyValue) Slow(delay, d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.slow = delay
	k.slowUntil = time.Now().Add(d)
}

// LoseAnswers makes a share of writes take effect without an answer.
func (k *KeyValue) LoseAnswers(share float64, d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loseShare = share
	k.loseUntil = time.Now().Add(d)
}

// Get reads one key.
func (k *KeyValue) Get(ctx context.Context, r *platformpb.GetRequest) (*platformpb.GetReply, error) {
	if err := k.admit(ctx, &k.reads, &k.counts.Reads); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.read(r.Key), nil
}

// Put writes one key if its revision is the expected one.
func (k *KeyValue) Put(ctx context.Context, r *platformpb.PutRequest) (*platformpb.PutReply, error) {
	if err := k.admit(ctx, &k.writes, &k.counts.Writes); err != nil {
		return nil, err
	}
	if len(r.Value) > maxValue {
		return nil, status.Error(codes.InvalidArgument, "value too large")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := k.read(r.Key).Revision; now != r.ExpectedRevision {
		return nil, status.Errorf(codes.FailedPrecondition, "revision is %d", now)
	}
	if r.LeaseId != 0 && !time.Now().Before(k.leases[r.LeaseId]) {
		return nil, status.Error(codes.NotFound, "lease has ended")
	}
	k.revision++
	k.entries[r.Key] = entry{value: r.Value, revision: k.revision, lease: r.LeaseId}
	k.notify()
	if k.loses() {
		return nil, status.Error(codes.Unavailable, "answer lost")
	}
	return &platformpb.PutReply{Revision: k.revision}, nil
}

// Delete removes one key.
func (k *KeyValue) Delete(ctx context.Context, r *platformpb.DeleteRequest) (*platformpb.DeleteReply, error) {
	if err := k.admit(ctx, &k.writes, &k.counts.Writes); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.entries, r.Key)
	k.notify()
	return &platformpb.DeleteReply{}, nil
}

// Wait returns when a key has changed.
func (k *KeyValue) Wait(ctx context.Context, r *platformpb.WaitRequest) (*platformpb.GetReply, error) {
	if err := k.admit(ctx, &k.reads, &k.counts.Waits); err != nil {
		return nil, err
	}
	timeout := min(time.Duration(r.TimeoutMs)*time.Millisecond, maxWait)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		k.mu.Lock()
		reply := k.read(r.Key)
		changed := k.changed
		down := time.Now().Before(k.downUntil)
		k.mu.Unlock()
		if reply.Revision > r.AfterRevision && !down {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
}

// GrantLease makes a lease.
func (k *KeyValue) GrantLease(ctx context.Context, r *platformpb.GrantLeaseRequest) (*platformpb.LeaseReply, error) {
	if err := k.admit(ctx, &k.writes, &k.counts.Writes); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	id := k.rand.Uint64()
	k.leases[id] = time.Now().Add(time.Duration(r.TtlMs) * time.Millisecond)
	return &platformpb.LeaseReply{LeaseId: id, TtlMs: r.TtlMs}, nil
}

// KeepLease renews a lease that has not ended by 10 s.
func (k *KeyValue) KeepLease(ctx context.Context, r *platformpb.KeepLeaseRequest) (*platformpb.LeaseReply, error) {
	const renewal = 10 * time.Second
	if err := k.admit(ctx, &k.writes, &k.counts.Writes); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !time.Now().Before(k.leases[r.LeaseId]) {
		return nil, status.Error(codes.NotFound, "lease has ended")
	}
	k.leases[r.LeaseId] = time.Now().Add(renewal)
	return &platformpb.LeaseReply{LeaseId: r.LeaseId, TtlMs: renewal.Milliseconds()}, nil
}

// read returns a key, unless its lease has ended. The caller holds mu.
func (k *KeyValue) read(key string) *platformpb.GetReply {
	e, ok := k.entries[key]
	if !ok {
		return &platformpb.GetReply{}
	}
	if e.lease != 0 && !time.Now().Before(k.leases[e.lease]) {
		delete(k.entries, key)
		return &platformpb.GetReply{}
	}
	return &platformpb.GetReply{Found: true, Value: e.value, Revision: e.revision}
}

// admit counts a call, holds it to the rates and applies outage and slowness.
func (k *KeyValue) admit(ctx context.Context, b *bucket, count *uint64) error {
	k.mu.Lock()
	*count++
	delay := callTime
	if time.Now().Before(k.slowUntil) {
		delay += k.slow
	}
	down := time.Now().Before(k.downUntil)
	within := b.take(time.Now())
	if !within {
		k.counts.Refused++
	}
	k.mu.Unlock()
	if down {
		return status.Error(codes.Unavailable, "outage")
	}
	if !within {
		return status.Error(codes.ResourceExhausted, "rate exceeded")
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

func (k *KeyValue) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *KeyValue) loses() bool {
	return time.Now().Before(k.loseUntil) && k.rand.Float64() < k.loseShare
}

// bucket holds calls to a rate per second with a burst of one second.
type bucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

func (b *bucket) take(now time.Time) bool {
	if !b.last.IsZero() {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
