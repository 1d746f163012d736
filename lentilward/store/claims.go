package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

const (
	// claimTTL is the minimum time for which a claim is stored. A resend after it
	// has expired counts as a new request.
	claimTTL = 10 * time.Minute
	// leaseReusePeriod is the time during which new claims share one lease, so
	// that a claim costs a single write.
	leaseReusePeriod = time.Minute
	// maxClaimsPerSecond is the rate limit for the claims of one instance, and
	// its burst.
	maxClaimsPerSecond = 50
)

// ErrClaimed means that the request has already been claimed.
var ErrClaimed = merry.Sentinel("request has already been claimed")

// ClaimState is the state of a claimed request.
type ClaimState string

// Claim states: the request may be running or may have run, was released without
// having run, or has run and its result is stored.
const (
	ClaimTaken    ClaimState = "taken"
	ClaimReleased ClaimState = "released"
	ClaimDone     ClaimState = "done"
)

// claim is the stored value of a claim's key.
type claim struct {
	Owner  string     `cbor:"owner"`
	State  ClaimState `cbor:"state"`
	Result []byte     `cbor:"result"`
}

// Claims creates claims in the key-value service, so that at most one instance runs
// a non-idempotent request.
type Claims struct {
	kv       *KeyValue
	instance string

	mu            sync.Mutex
	lease         uint64
	leaseReuseEnd time.Time
	tokens        float64
	lastRefill    time.Time
}

// NewClaims returns Claims for the instance of the given name.
func NewClaims(kv *KeyValue, instance string) *Claims {
	return &Claims{kv: kv, instance: instance, tokens: maxClaimsPerSecond}
}

// Claim is a claim that this instance holds.
type Claim struct {
	claims   *Claims
	key      string
	owner    string
	lease    uint64
	revision uint64
}

// EarlierClaim is the state of an earlier claim on the same request, by any
// instance, and the result if the request has finished.
type EarlierClaim struct {
	State  ClaimState
	Result []byte
}

// Acquire claims a caller's request. After any error this instance must not run the
// request. With ErrClaimed the state of the earlier claim is returned.
func (c *Claims) Acquire(ctx context.Context, caller, requestID string) (*Claim, EarlierClaim, error) {
	if !c.allow(time.Now()) {
		return nil, EarlierClaim{}, ErrLimited
	}
	lease, err := c.currentLease(ctx)
	if err != nil {
		return nil, EarlierClaim{}, err
	}
	k := &Claim{
		claims: c, lease: lease, owner: c.instance + "/" + uuid.NewString(),
		key: fmt.Sprintf("lentilward/claim/%q/%q", caller, requestID),
	}
	expected := uint64(0)
	for range maxClaimTries {
		err := k.put(ctx, expected, ClaimTaken, nil)
		if err == nil {
			return k, EarlierClaim{}, nil
		}
		if !errors.Is(err, ErrConflict) && !isUnavailable(err) {
			return nil, EarlierClaim{}, err
		}
		e, value, err := k.read(ctx)
		if err != nil {
			return nil, EarlierClaim{}, err
		}
		switch {
		case value.Owner == k.owner:
			k.revision = e.Revision
			return k, EarlierClaim{}, nil
		case e.Revision != 0 && value.State != ClaimReleased:
			return nil, EarlierClaim{State: value.State, Result: value.Result}, ErrClaimed
		}
		expected = e.Revision
	}
	return nil, EarlierClaim{}, ErrUnavailable
}

// maxClaimTries bounds the writes of one claim, which are repeated after lost
// replies and conflicts with other instances.
const maxClaimTries = 5

// Finish stores the result of the request, which a resend then receives.
func (k *Claim) Finish(ctx context.Context, result []byte) error {
	return k.put(ctx, k.revision, ClaimDone, result)
}

// Release gives up the claim of a request that has not run, so that a resend may
// run it.
func (k *Claim) Release(ctx context.Context) error {
	return k.put(ctx, k.revision, ClaimReleased, nil)
}

func (k *Claim) put(ctx context.Context, expected uint64, state ClaimState, result []byte) error {
	value, err := cbor.Marshal(claim{Owner: k.owner, State: state, Result: result})
	if err != nil {
		return merry.Wrap(err)
	}
	revision, err := k.claims.kv.Put(ctx, k.key, value, expected, k.lease)
	if err != nil {
		return err
	}
	k.revision = revision
	return nil
}

func (k *Claim) read(ctx context.Context) (Entry, claim, error) {
	var value claim
	e, err := k.claims.kv.Get(ctx, k.key)
	if err != nil {
		return e, value, err
	}
	if e.Revision == 0 {
		return e, value, nil
	}
	if err := cbor.NewDecoder(bytes.NewReader(e.Value)).Decode(&value); err != nil {
		return e, value, merry.Prepend(err, k.key)
	}
	return e, value, nil
}

// currentLease returns the lease that new claims share. It requests a new one if
// leaseReusePeriod has passed.
func (c *Claims) currentLease(ctx context.Context) (uint64, error) {
	c.mu.Lock()
	lease, reuseEnd := c.lease, c.leaseReuseEnd
	c.mu.Unlock()
	if time.Now().Before(reuseEnd) {
		return lease, nil
	}
	begin := time.Now()
	lease, err := c.kv.GrantLease(ctx, claimTTL+leaseReusePeriod)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.leaseReuseEnd = lease, begin.Add(leaseReusePeriod)
	return lease, nil
}

// allow reports whether a claim at time now is within the instance's share of the
// platform's write rate.
func (c *Claims) allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastRefill.IsZero() {
		c.tokens = min(maxClaimsPerSecond, c.tokens+now.Sub(c.lastRefill).Seconds()*maxClaimsPerSecond)
	}
	c.lastRefill = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}
