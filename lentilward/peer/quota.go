package peer

import (
	"context"
	"net/netip"

	"lentilward.org/lentilward/quota"
)

// kindQuota asks for tokens of a tenant, and kindHomes which instance is the home of
// tenants.
//
// kindServerLimits and kindServerLimitHomes are the same for the limits that backend servers
// name; the former has several questions.
const (
	kindQuota            kind = "quota"
	kindHomes            kind = "quota-homes"
	kindServerLimits     kind = "server-limits"
	kindServerLimitHomes kind = "server-limit-homes"
)

// QuotaReply is the reply to a request for tokens.
type QuotaReply = quota.Reply[netip.AddrPort]

// serverLimitsBody has requests for tokens of backend servers.
type serverLimitsBody struct {
	Questions []quota.Question `cbor:"questions"`
}

// serverLimitsReply has the replies to a serverLimitsBody, in their order.
type serverLimitsReply struct {
	Replies []QuotaReply `cbor:"replies"`
}

// homesBody asks which instances the receiver considers the homes of keys: tenants, or groups
// of backend servers. The reply has them in the same order.
type homesBody struct {
	Keys  []string         `cbor:"tenants,omitempty"`
	Homes []netip.AddrPort `cbor:"homes,omitempty"`
}

// AskQuota asks a peer for tokens of a tenant.
func (l *Links) AskQuota(ctx context.Context, address netip.AddrPort, a quota.Ask, final bool) (QuotaReply, error) {
	var reply QuotaReply
	err := l.call(ctx, address, kindQuota, quota.Question{Ask: a, Final: final}, &reply)
	return reply, err
}

// QuotaHomes asks a peer which instances it considers the homes of tenants.
func (l *Links) QuotaHomes(ctx context.Context, address netip.AddrPort, tenants []string) ([]netip.AddrPort, error) {
	var reply homesBody
	err := l.call(ctx, address, kindHomes, homesBody{Keys: tenants}, &reply)
	return reply.Homes, err
}

// AskServerLimits asks a peer for tokens of backend servers.
func (l *Links) AskServerLimits(ctx context.Context, address netip.AddrPort, questions []quota.Question) ([]QuotaReply, error) {
	var reply serverLimitsReply
	err := l.call(ctx, address, kindServerLimits, serverLimitsBody{Questions: questions}, &reply)
	return reply.Replies, err
}

// ServerLimitHomes asks a peer which instances it considers the homes of the backend servers
// with these keys.
func (l *Links) ServerLimitHomes(ctx context.Context, address netip.AddrPort, keys []string) ([]netip.AddrPort, error) {
	var reply homesBody
	err := l.call(ctx, address, kindServerLimitHomes, homesBody{Keys: keys}, &reply)
	return reply.Homes, err
}

// dispatchQuota handles the frames about allowances and the limits of backend servers.
func (s *Server) dispatchQuota(f frame) (any, error) {
	switch f.Kind {
	case kindQuota:
		return handleBody(f, func(b quota.Question) (any, error) { return s.LendQuota(b.Ask, b.Final), nil })
	case kindServerLimits:
		return handleBody(f, func(b serverLimitsBody) (any, error) {
			replies := make([]QuotaReply, 0, len(b.Questions))
			for _, q := range b.Questions {
				replies = append(replies, s.LendServerLimit(q.Ask, q.Final))
			}
			return serverLimitsReply{Replies: replies}, nil
		})
	case kindServerLimitHomes:
		return handleBody(f, func(b homesBody) (any, error) { return homesBody{Homes: s.ServerLimitHomes(b.Keys)}, nil })
	}
	return handleBody(f, func(b homesBody) (any, error) {
		return homesBody{Homes: s.QuotaHomes(b.Keys)}, nil
	})
}
