package admission

import "time"

const (
	// tenantCredit is the additional credit that a search needs whose tenant gets more than
	// an even share, or asks for more than its allowance. Together with that for the rank
	// it stays below maxCredit.
	tenantCredit = 0.2
	// unevenShare is the admitted rate of a tenant, as a multiple of the mean, from which on
	// it gets more than an even share.
	unevenShare = 1.5
	// minTenantRate is the admitted rate below which a tenant never does: 2 searches in the
	// rateWindow.
	minTenantRate = 2 / 4.0
	// minTenantShare is the part of the share of all searches that are admitted below which
	// a tenant's searches need no additional credit. Searches that are retried at once
	// lower the tenant's share, so it must not be much higher.
	minTenantShare = 0.4
	// minTrackedRate is the rate below which a tenant is forgotten.
	minTrackedRate = 0.01
)

// Tenant is the sender of a search. Use is what it asks for over all instances as a share
// of its allowance; 0 if that is not known.
type Tenant struct {
	Name string
	Use  float64
}

// tenantRates are the measured rates of the searches of one tenant.
type tenantRates struct{ admitted, offered float64 }

// ensureTenant returns the rates of a tenant; nil for searches without one. The caller
// holds mu.
func (a *Limit) ensureTenant(name string) *tenantRates {
	if name == "" {
		return nil
	}
	t := a.tenants[name]
	if t == nil {
		t = &tenantRates{}
		a.tenants[name] = t
	}
	return t
}

// tenantCredit returns the additional credit that a search of a tenant needs. The caller
// holds mu.
func (a *Limit) tenantCredit(t *tenantRates, use float64) float64 {
	if t == nil || t.admitted*a.offered < minTenantShare*a.rate*t.offered {
		return 0
	}
	if use > 1 {
		return tenantCredit
	}
	admitted := 0.0
	for _, other := range a.tenants {
		admitted += other.admitted
	}
	if t.admitted > minTenantRate && t.admitted > unevenShare*admitted/float64(len(a.tenants)) {
		return tenantCredit
	}
	return 0
}

// decayTenants brings the rates of the tenants to the present. The caller holds mu.
func (a *Limit) decayTenants(decay float64) {
	for name, t := range a.tenants {
		t.admitted *= decay
		t.offered *= decay
		if t.offered < minTrackedRate {
			delete(a.tenants, name)
		}
	}
}

// Admit reports whether to run a search on a route, and otherwise when the caller
// should try again.
func (a *Limit) Admit(route string, priority int, now time.Time) (retryAfter time.Duration, ok bool) {
	return a.AdmitFor(Tenant{}, route, priority, now)
}
