package scatter

import (
	"lentilward.org/lentilward/admission"
	"lentilward.org/schema/domain"
)

// tenant returns the tenant of the request as those that share capacity see it.
func (r *run) tenant() admission.Tenant {
	if r.task.Tenant == nil {
		return admission.Tenant{}
	}
	t := admission.Tenant{Name: r.task.Tenant.Name}
	if r.engine.TenantUse != nil {
		t.Use = r.engine.TenantUse(t.Name)
	}
	return t
}

// TenantName returns the name of the tenant of the request, or "" if it has none.
func (t *Task) TenantName() string {
	if t.Tenant == nil {
		return ""
	}
	return t.Tenant.Name
}

// gatherTenant returns the tenant of a gather. Its priority is in Gather.Rank already.
func gatherTenant(name string) *domain.Tenant {
	if name == "" {
		return nil
	}
	return &domain.Tenant{Name: name}
}
