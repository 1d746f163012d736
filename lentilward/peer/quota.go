package peer

import (
	"context"
	"net/netip"

	"lentilward.org/lentilward/quota"
)

// kindQuota asks for tokens of a tenant, and kindHomes which instance is the home of
// tenants.
const (
	kindQuota kind = "quota"
	kindHomes kind = "quota-homes"
)

// QuotaReply is the reply to a request for tokens.
type QuotaReply = quota.Reply[netip.AddrPort]

// quotaBody is a request for tokens. Final is set if the receiver must answer it, also if
// it considers another instance the home.
type quotaBody struct {
	quota.Ask
	Final bool `cbor:"final,omitempty"`
}

// homesBody asks which instances the receiver considers the homes of tenants; the reply has
// them in the same order.
type homesBody struct {
	Tenants []string         `cbor:"tenants,omitempty"`
	Homes   []netip.AddrPort `cbor:"homes,omitempty"`
}

// AskQuota asks a peer for tokens of a tenant.
func (l *Links) AskQuota(ctx context.Context, address netip.AddrPort, a quota.Ask, final bool) (QuotaReply, error) {
	var reply QuotaReply
	err := l.call(ctx, address, kindQuota, quotaBody{Ask: a, Final: final}, &reply)
	return reply, err
}

// QuotaHomes asks a peer which instances it considers the homes of tenants.
func (l *Links) QuotaHomes(ctx context.Context, address netip.AddrPort, tenants []string) ([]netip.AddrPort, error) {
	var reply homesBody
	err := l.call(ctx, address, kindHomes, homesBody{Tenants: tenants}, &reply)
	return reply.Homes, err
}

// dispatchQuota handles the frames about allowances.
func (s *Server) dispatchQuota(f frame) (any, error) {
	if f.Kind == kindQuota {
		return handleBody(f, func(b quotaBody) (any, error) { return s.LendQuota(b.Ask, b.Final), nil })
	}
	return handleBody(f, func(b homesBody) (any, error) {
		return homesBody{Homes: s.QuotaHomes(b.Tenants)}, nil
	})
}
