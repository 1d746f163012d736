package domain

import "crypto/sha256"

// KeyHash is the SHA-256 hash of a tenant's key. Keys are kept, compared and logged only
// as hashes.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Tenant is a party that sends requests, identified by its keys.
type Tenant struct {
	Name string
	// HasPriority is true if Priority replaces the priority of the route.
	HasPriority bool
	Priority    int
	// RatePerSecond and Burst bound the requests of the tenant over all instances: a
	// token bucket of size Burst that is refilled at RatePerSecond. A rate of 0 sets no
	// bound.
	RatePerSecond float64
	Burst         float64
}

// RequiresKey reports whether requests on a route must carry a tenant's key.
func (c *Configuration) RequiresKey(r *Route) bool { return len(c.Tenants) > 0 && !r.Public }

// Tenant returns the tenant of a request, or nil if the request does not have exactly one
// key or no tenant holds it.
func (c *Configuration) Tenant(r *Request) *Tenant {
	if len(r.Keys) != 1 {
		return nil
	}
	return c.Keys[r.Keys[0]]
}

// RequestPriority returns the priority of a tenant's requests on a route; tenant may be
// nil.
func RequestPriority(r *Route, tenant *Tenant) int {
	if tenant != nil && tenant.HasPriority {
		return tenant.Priority
	}
	return r.Priority
}
