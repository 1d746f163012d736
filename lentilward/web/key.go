package web

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"lentilward.org/lentilward/directory"
	"lentilward.org/schema/domain"
)

// selection is the route of a request and, where the route needs a key, the tenant that
// holds the request's key, as the snapshot has them.
type selection struct {
	snapshot *directory.Snapshot
	route    *domain.Route
	tenant   *domain.Tenant
}

// selectRoute matches a request against the latest snapshot. It reports that there is no
// route, or that the key is not valid, only if that snapshot is known to be current. proven
// states whether it was known on the arrival of the request that no key was withdrawn too
// long ago.
func (s *Server) selectRoute(request *domain.Request, proven bool) (selection, *domain.Refusal) {
	for {
		snapshot := s.directory.Current.Load()
		c := snapshot.Configuration
		selected := selection{snapshot: snapshot, route: matchRoute(c, request)}
		requiresKey := selected.route != nil && c.RequiresKey(selected.route)
		if requiresKey {
			selected.tenant = c.Tenant(request)
		}
		switch {
		case requiresKey && !proven:
			return selected, &domain.Refusal{
				Reason: domain.Unverified, RetryAfter: noConfigurationRetryDelay,
				Message: "the store has not confirmed for too long that the key is still valid",
			}
		case selected.route != nil && (selected.tenant != nil || !requiresKey):
			return selected, nil
		case !s.IsConfigurationCurrent():
			return selected, &domain.Refusal{
				Reason: domain.NoConfiguration, RetryAfter: noConfigurationRetryDelay,
				Message: "no matching route or key, but the configuration may be out of date",
			}
		case s.directory.Current.Load() != snapshot:
			continue
		case selected.route == nil:
			return selected, &domain.Refusal{
				Reason: domain.NoRoute, Message: fmt.Sprintf("no route for host %q and path %q", request.Host, request.Path()),
			}
		}
		return selected, &domain.Refusal{Reason: domain.Unauthorized, Message: "the request does not have exactly one valid key"}
	}
}

// refusedBodyWait is how long the answer to a request that is refused on arrival waits for
// its body. net/http reads the body first, and closes the connection if that fails.
const refusedBodyWait = 20 * time.Millisecond

// checkArrival refuses a request before its body is read, where the configuration has
// tenants: a caller without a key must not occupy memory.
func (s *Server) checkArrival(w http.ResponseWriter, r *http.Request, request *domain.Request, snapshot *directory.Snapshot, proven bool) *domain.Refusal {
	if len(snapshot.Configuration.Tenants) == 0 {
		return nil
	}
	_, refusal := s.selectRoute(request, proven)
	if refusal == nil {
		return nil
	}
	if r.Body == nil || r.Body == http.NoBody {
		return refusal
	}
	deadline := time.Now().Add(refusedBodyWait)
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.log.Warn("bounding the wait for the body of a refused request failed", "request-id", request.ID, "error", err)
	}
	return refusal
}

// identify states the tenant to the servers in place of the key, where the configuration
// has tenants.
func (s *Server) identify(request *domain.Request, selected selection) {
	if len(selected.snapshot.Configuration.Tenants) == 0 {
		return
	}
	name := ""
	if selected.tenant != nil {
		name = selected.tenant.Name
	}
	s.format.SetTenant(request, name)
}

// loggedHashBytes is the length of the part of a key's hash that is logged.
const loggedHashBytes = 8

// keyAttributes returns what the log says of the tenant and of a key that was refused.
func keyAttributes(request *domain.Request, result RequestResult) []any {
	var attributes []any
	if result.Tenant != nil {
		attributes = append(attributes, "tenant", result.Tenant.Name)
	}
	if result.Refusal != nil && result.Refusal.Reason == domain.Unauthorized {
		attributes = append(attributes, "keys", len(request.Keys))
		if len(request.Keys) == 1 {
			attributes = append(attributes, "key-hash", hex.EncodeToString(request.Keys[0][:loggedHashBytes]))
		}
	}
	return attributes
}
