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
	// sampleTimeout bounds the replies to one round of questions. An instance that does not
	// reply may use its share.
	sampleTimeout = 120 * time.Millisecond
)

// Sample asks some of the peers, and those lost recently, which instance is the home of
// each key that is short, and lends only the part of those that name this one. So the
// parts that several homes of one subject lend add up to about the whole. Peers that name an
// instance that itself names this one count too, since it passes their questions on. ask
// returns the homes of keys in the same order.
func Sample[P comparable](ctx context.Context, h *Home, self P, peers []P, ask func(ctx context.Context, peer P, keys []string) ([]P, error)) {
	keys := h.Short(time.Now())
	if len(keys) == 0 {
		return
	}
	known := len(peers) + 1
	all := slices.Clone(peers)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	peers = all[:min(len(all), sampleSize)]
	replies := askAll(ctx, peers, keys, ask)
	var others []P
	for _, homes := range replies {
		for _, home := range homes {
			if _, asked := replies[home]; !asked && slices.Contains(all, home) && !slices.Contains(others, home) && len(others) < sampleSize {
				others = append(others, home)
			}
		}
	}
	forwarders := askAll(ctx, others, keys, ask)
	for _, p := range peers {
		if homes, ok := replies[p]; ok {
			forwarders[p] = homes
		}
	}
	for i, key := range keys {
		agreed := 0
		for _, homes := range replies {
			if homes[i] == self {
				agreed++
			} else if next, ok := forwarders[homes[i]]; ok && next[i] == self {
				agreed++
			}
		}
		part := 1.0
		if len(peers) > 0 {
			part = (1 + float64(known-1)*float64(agreed)/float64(len(peers))) / float64(known)
		}
		h.SetSample(key, part, time.Now())
	}
}

// askAll asks all peers at once and returns the replies that arrive in time.
func askAll[P comparable](ctx context.Context, peers []P, keys []string, ask func(ctx context.Context, peer P, keys []string) ([]P, error)) map[P][]P {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	type reply struct {
		peer  P
		homes []P
	}
	received := make(chan reply, len(peers))
	for _, p := range peers {
		go func() {
			homes, err := ask(ctx, p, keys)
			if err != nil || len(homes) != len(keys) {
				homes = nil
			}
			received <- reply{p, homes}
		}()
	}
	replies := make(map[P][]P)
	for range peers {
		select {
		case r := <-received:
			if r.homes != nil {
				replies[r.peer] = r.homes
			}
		case <-ctx.Done():
		}
	}
	return replies
}
