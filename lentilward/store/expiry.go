package store

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// claimTTL is the minimum time for which a claim is stored. A resend after it
	// has expired counts as a new request.
	claimTTL = 10 * time.Minute
	// clockMargin is how much longer a claim is kept whose expiry another instance's clock
	// tells.
	clockMargin = time.Minute
	// expiryInterval is the interval at which an instance deletes its own expired claims.
	expiryInterval = time.Second
	// sweepInterval is the pause between two searches for claims of instances that are
	// gone, and sweepPageInterval that between two of their pages.
	sweepInterval     = 10 * time.Minute
	sweepPageInterval = time.Second
	// maxDeletesPerCall bounds the claims that one call deletes.
	maxDeletesPerCall = 16
	// expiryCallTimeout bounds one call of these.
	expiryCallTimeout = 2 * time.Second
)

// Run deletes expired claims until the context ends: those of this instance, and, on the
// instance that Rank puts first, those of instances that are gone. Claims have no lease,
// since in an outage of the store in which leases run out a resend would find none.
func (c *Claims) Run(ctx context.Context) {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	sweepAt := time.Now().Add(sweepInterval)
	after := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.deleteOwn(ctx, time.Now())
		if time.Now().Before(sweepAt) || c.Rank() > 0 {
			continue
		}
		next, err := c.sweepPage(ctx, after, time.Now())
		switch {
		case err != nil:
			c.log.Info("searching for expired claims failed", "after", after, "error", err)
			sweepAt = time.Now().Add(sweepPageInterval)
		case next == "":
			after, sweepAt = "", time.Now().Add(sweepInterval)
		default:
			after, sweepAt = next, time.Now().Add(sweepPageInterval)
		}
	}
}

// ownClaim is a claim of this instance, with the time from which it may be deleted.
type ownClaim struct {
	claim     *Claim
	expiresAt time.Time
}

// deleteOwn deletes the claims of this instance that have expired. Those that can't be
// deleted are left to sweepPage.
func (c *Claims) deleteOwn(ctx context.Context, now time.Time) {
	c.mu.Lock()
	n := 0
	for n < len(c.own) && now.After(c.own[n].expiresAt) {
		n++
	}
	expired := c.own[:n]
	c.own = c.own[n:]
	c.mu.Unlock()
	for len(expired) > 0 {
		batch := expired[:min(len(expired), maxDeletesPerCall)]
		expired = expired[len(batch):]
		listed := make([]ListedEntry, 0, len(batch))
		for _, o := range batch {
			listed = append(listed, ListedEntry{Key: o.claim.key, Revision: o.claim.revision.Load()})
		}
		c.deleteAll(ctx, listed)
	}
}

// sweepPage deletes the expired claims on the page after a key. It returns the last key of
// the page, or "" if it was the last page.
func (c *Claims) sweepPage(ctx context.Context, after string, now time.Time) (next string, _ error) {
	callCtx, cancel := context.WithTimeout(ctx, expiryCallTimeout)
	defer cancel()
	page, more, err := c.kv.List(callCtx, claimPrefix, after)
	if err != nil {
		return "", err
	}
	var expired []ListedEntry
	for _, e := range page {
		next = e.Key
		var value claim
		if err := cbor.Unmarshal(e.Value, &value); err != nil {
			c.log.Warn("claim is malformed", "key", e.Key, "error", err)
			continue
		}
		// Claims of earlier versions have no expiry, but a lease.
		if value.Expires > 0 && now.Sub(time.UnixMilli(value.Expires)) > clockMargin {
			expired = append(expired, e)
		}
	}
	for len(expired) > 0 {
		n := min(len(expired), maxDeletesPerCall)
		c.deleteAll(ctx, expired[:n])
		expired = expired[n:]
	}
	if !more {
		return "", nil
	}
	return next, nil
}

// deleteAll deletes claims that have not changed, together, or one by one if one of them
// has.
func (c *Claims) deleteAll(ctx context.Context, claims []ListedEntry) {
	callCtx, cancel := context.WithTimeout(ctx, expiryCallTimeout)
	defer cancel()
	err := c.kv.DeleteAll(callCtx, claims)
	if errors.Is(err, ErrConflict) && len(claims) > 1 {
		for i := range claims {
			c.deleteAll(ctx, claims[i:i+1])
		}
		return
	}
	if err != nil {
		c.log.Info("deleting expired claims failed", "claims", len(claims), "error", err)
	}
}
