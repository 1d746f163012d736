package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

const (
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
	// Expires is when the claim may be deleted, in milliseconds since 1970.
	Expires int64 `cbor:"expires,omitempty"`
}

// claimPrefix is the prefix of the keys of claims.
const claimPrefix = "lentilward/claim/"

// Claims creates claims in the key-value service, so that at most one instance runs
// a non-idempotent request.
type Claims struct {
	kv       *KeyValue
	instance string
	log      *slog.Logger
	// Rank returns the position of this instance, from 0, in the order by which the one
	// that deletes the claims of others is selected.
	Rank func() int

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	// own has the claims of this instance in the order in which they expire.
	own []ownClaim
}

// NewClaims returns Claims for the instance of the given name. Run deletes them once they
// have expired.
func NewClaims(kv *KeyValue, instance string, log *slog.Logger) *Claims {
	return &Claims{kv: kv, instance: instance, log: log, tokens: maxClaimsPerSecond, Rank: func() int { return 0 }}
}

// Claim is a claim that this instance holds.
type Claim struct {
	claims   *Claims
	key      string
	owner    string
	expires  time.Time
	revision atomic.Uint64
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
	k := &Claim{
		claims: c, owner: c.instance + "/" + uuid.NewString(), expires: time.Now().Add(claimTTL),
		key: fmt.Sprintf("%s%q/%q", claimPrefix, caller, requestID),
	}
	expected := uint64(0)
	for range maxClaimTries {
		err := k.put(ctx, expected, ClaimTaken, nil)
		if err == nil {
			c.addOwn(k)
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
			k.revision.Store(e.Revision)
			c.addOwn(k)
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
	return k.update(ctx, ClaimDone, result)
}

// Release gives up the claim of a request that has not run, so that a resend may
// run it.
func (k *Claim) Release(ctx context.Context) error {
	return k.update(ctx, ClaimReleased, nil)
}

// update writes a new state. It creates the claim again if it is gone, as it is after the
// store has come back from an older copy, but leaves that of another instance.
func (k *Claim) update(ctx context.Context, state ClaimState, result []byte) error {
	err := k.put(ctx, k.revision.Load(), state, result)
	if !errors.Is(err, ErrConflict) {
		return err
	}
	e, value, readErr := k.read(ctx)
	if readErr != nil {
		return readErr
	}
	if e.Revision != 0 && value.Owner != k.owner {
		return err
	}
	return k.put(ctx, e.Revision, state, result)
}

func (k *Claim) put(ctx context.Context, expected uint64, state ClaimState, result []byte) error {
	value, err := cbor.Marshal(claim{Owner: k.owner, State: state, Result: result, Expires: k.expires.UnixMilli()})
	if err != nil {
		return merry.Wrap(err)
	}
	revision, err := k.claims.kv.Put(ctx, k.key, value, expected)
	if err != nil {
		return err
	}
	k.revision.Store(revision)
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

// addOwn notes a claim of this instance for its deletion.
func (c *Claims) addOwn(k *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = append(c.own, ownClaim{claim: k, expiresAt: k.expires})
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
