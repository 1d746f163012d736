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
	// claimLife is how long a claim is kept; a resend later than that is a new
	// request.
	claimLife = 10 * time.Minute
	// leaseShare is how long one lease takes new claims, so that a claim
	// costs one write.
	leaseShare = time.Minute
	// claimsPerSecond bounds the claims of one instance.
	claimsPerSecond = 50
)

// ErrClaimed means that the request was claimed before.
var ErrClaimed = merry.Sentinel("request was claimed before")

// ClaimState is how far a claimed request came.
type ClaimState string

// Claim states.
const (
	ClaimTaken    ClaimState = "taken"
	ClaimReleased ClaimState = "released"
	ClaimDone     ClaimState = "done"
)

// claim is the stored value.
type claim struct {
	Owner  string     `cbor:"owner"`
	State  ClaimState `cbor:"state"`
	Result []byte     `cbor:"result"`
}

// Claims lets one instance run a non-idempotent request.
type Claims struct {
	kv       *KeyValue
	instance string

	mu         sync.Mutex
	lease      uint64
	leaseUntil time.Time
	tokens     float64
	refilled   time.Time
}

// NewClaims returns the claims of one instance.
func NewClaims(kv *KeyValue, instance string) *Claims {
	return &Claims{kv: kv, instance: instance, tokens: claimsPerSecond}
}

// Claim is a claim that this instance holds.
type Claim struct {
	claims   *Claims
	key      string
	owner    string
	lease    uint64
	revision uint64
}

// Earlier describes a claim made before by any instance.
type Earlier struct {
	State  ClaimState
	Result []byte
}

// Take claims a caller's request. With ErrClaimed it tells what became of the
// earlier claim; with any other error this instance must not run the request.
func (c *Claims) Take(ctx context.Context, caller, requestID string) (*Claim, Earlier, error) {
	if !c.allow(time.Now()) {
		return nil, Earlier{}, ErrLimited
	}
	lease, err := c.currentLease(ctx)
	if err != nil {
		return nil, Earlier{}, err
	}
	k := &Claim{
		claims: c, lease: lease, owner: c.instance + "/" + uuid.NewString(),
		key: fmt.Sprintf("lentilward/claim/%q/%q", caller, requestID),
	}
	expected := uint64(0)
	for range maxClaimTries {
		err := k.put(ctx, expected, ClaimTaken, nil)
		if err == nil {
			return k, Earlier{}, nil
		}
		if !errors.Is(err, ErrConflict) && !IsUnavailable(err) {
			return nil, Earlier{}, err
		}
		e, value, err := k.read(ctx)
		if err != nil {
			return nil, Earlier{}, err
		}
		switch {
		case value.Owner == k.owner:
			k.revision = e.Revision
			return k, Earlier{}, nil
		case e.Revision != 0 && value.State != ClaimReleased:
			return nil, Earlier{State: value.State, Result: value.Result}, ErrClaimed
		}
		expected = e.Revision
	}
	return nil, Earlier{}, ErrUnavailable
}

// maxClaimTries bounds the lost answers and races of one claim.
const maxClaimTries = 5

// Finish notes the result, so that a resend gets it.
func (k *Claim) Finish(ctx context.Context, result []byte) error {
	return k.put(ctx, k.revision, ClaimDone, result)
}

// Release lets a resend run the request, which has not been run.
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

// currentLease returns the lease that new claims share.
func (c *Claims) currentLease(ctx context.Context) (uint64, error) {
	c.mu.Lock()
	lease, until := c.lease, c.leaseUntil
	c.mu.Unlock()
	if time.Now().Before(until) {
		return lease, nil
	}
	begin := time.Now()
	lease, err := c.kv.GrantLease(ctx, claimLife+leaseShare)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.leaseUntil = lease, begin.Add(leaseShare)
	return lease, nil
}

// allow holds claims to the instance's share of the platform's writes.
func (c *Claims) allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.refilled.IsZero() {
		c.tokens = min(claimsPerSecond, c.tokens+now.Sub(c.refilled).Seconds()*claimsPerSecond)
	}
	c.refilled = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}
