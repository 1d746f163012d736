package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// sampleSize bounds the peers that are asked in a TickInterval, so that the number of
	// messages does not grow with the fleet.
	sampleSize = 16
	// sampleTimeout bounds one question. An instance that does not reply may use its share.
	sampleTimeout = 200 * time.Millisecond
)

// Sample asks some of the peers, and those lost recently, which of the tenants that are
// short consider this instance their home, and lends only the part of those that do. So
// the parts that several homes of one tenant lend add up to about the whole. ask returns
// the tenants of which the peer considers this instance the home.
func Sample[P any](ctx context.Context, h *Home, peers []P, ask func(ctx context.Context, peer P, tenants []string) ([]string, error)) {
	tenants := h.Short(time.Now())
	if len(tenants) == 0 {
		return
	}
	known := len(peers) + 1
	peers = slices.Clone(peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), sampleSize)]
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	replies := make(chan []string, len(peers))
	for _, p := range peers {
		go func() {
			homes, err := ask(ctx, p, tenants)
			if err != nil {
				homes = nil
			}
			replies <- homes
		}()
	}
	agreed := make(map[string]int)
	for range peers {
		select {
		case homes := <-replies:
			for _, tenant := range homes {
				agreed[tenant]++
			}
		case <-ctx.Done():
		}
	}
	for _, tenant := range tenants {
		part := 1.0
		if len(peers) > 0 {
			part = (1 + float64(known-1)*float64(agreed[tenant])/float64(len(peers))) / float64(known)
		}
		h.SetSample(tenant, part, time.Now())
	}
}
