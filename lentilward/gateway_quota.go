package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/quota"
	"lentilward.org/lentilward/web"
	"lentilward.org/schema/domain"
)

// lostTenantPeriod is how long a lost instance counts among those that share an allowance.
// Members forget each other after a minute.
const lostTenantPeriod = 10 * time.Minute

// maxRefundAge is the age of a request up to which its token is given back if nothing was
// sent.
const maxRefundAge = 500 * time.Millisecond

// allowances keeps the tenants of this instance within their allowances together with the
// other instances.
type allowances struct{ *lending }

// connectAllowances connects the components that keep the allowances of tenants.
func (g *Gateway) connectAllowances() {
	a := &allowances{newLending(g, g.options.Load().quotaSettings(), "tenants", lostTenantPeriod)}
	a.ask, a.askHomes = g.links.AskQuota, g.links.QuotaHomes
	a.onLent = g.metrics.RecordTenantLent
	a.isUsed = a.hasLimits
	g.allowances = a
	g.peers.LendQuota, g.peers.QuotaHomes = a.lend, a.homesOf
	g.callers.Allow = a.allow
	g.engine.TenantUse = a.local.Use
}

// quotaSettings returns the settings of the allowances.
func (o *Options) quotaSettings() quota.Settings {
	if o.Quota.Window <= 0 {
		return quota.Settings{Window: defaultQuotaWindow, Overage: defaultQuotaOverage, Slack: defaultQuotaSlack}
	}
	return quota.Settings{Window: time.Duration(o.Quota.Window), Overage: o.Quota.Overage, Slack: o.Quota.Slack}
}

// allow reports whether a tenant may send a request now.
func (a *allowances) allow(ctx context.Context, tenant *domain.Tenant) (retryAfter time.Duration, ok bool) {
	limit := quota.Limit{Rate: tenant.RatePerSecond, Burst: tenant.Burst}
	if snapshot := a.gateway.directory.Current.Load(); snapshot != nil {
		limit.Version = snapshot.Configuration.Version
	}
	retryAfter, ok = a.local.Allow(ctx, tenant.Name, limit)
	a.gateway.metrics.RecordTenantAsked(tenant.Name)
	if !ok && ctx.Err() == nil {
		a.gateway.metrics.RecordTenantResult(tenant.Name, domain.QuotaExceeded.String())
	}
	return retryAfter, ok
}

// recordResult counts the result of a request that was allowed, and gives its token back
// if nothing was sent.
func (a *allowances) recordResult(r web.RequestResult) {
	if r.Tenant == nil {
		return
	}
	result := "served"
	if r.Refusal != nil {
		result = r.Refusal.Reason.String()
		if r.Refusal.Outcome == domain.NotRun && r.Stats.Calls == 0 && r.Duration < maxRefundAge {
			a.local.Refund(r.Tenant.Name)
		}
	}
	a.gateway.metrics.RecordTenantResult(r.Tenant.Name, result)
}

// hasLimits reports whether any tenant has an allowance.
func (a *allowances) hasLimits() bool {
	snapshot := a.gateway.directory.Current.Load()
	if snapshot == nil {
		return false
	}
	for _, t := range snapshot.Configuration.Tenants {
		if t.RatePerSecond > 0 {
			return true
		}
	}
	return false
}

// status returns what this instance knows of the tenants with an allowance.
func (a *allowances) status() []monitor.TenantStatus {
	snapshot := a.gateway.directory.Current.Load()
	if snapshot == nil {
		return nil
	}
	var tenants []monitor.TenantStatus
	counts, lent := a.local.Counts(), a.home.Lent()
	for name, t := range snapshot.Configuration.Tenants {
		c := counts[name]
		s := monitor.TenantStatus{
			Name: name, Rate: t.RatePerSecond, Burst: t.Burst, Asked: c.Asked, Allowed: c.Allowed, Refused: c.Refused, Fallback: c.Fallback,
			Lent: lent[name], Use: a.local.Use(name),
		}
		if home, ok := a.homes.Of(name); ok {
			s.Home = home.String()
		}
		tenants = append(tenants, s)
	}
	slices.SortFunc(tenants, func(x, y monitor.TenantStatus) int { return cmp.Compare(x.Name, y.Name) })
	return tenants
}
