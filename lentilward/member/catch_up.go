package member

import "lentilward.org/lentilward/blackboard"

const (
	// minToldMembers is the number of members from which instances tell how many they
	// know. Smaller fleets know each other after few messages.
	minToldMembers = 32
	// maxToldMembers bounds what is believed.
	maxToldMembers = 10_000
	// maxCatchUpMembers bounds the members in the reply to an instance that knows far
	// fewer than this one. One takes about 40 bytes.
	maxCatchUpMembers = 150
	// behindShare is the share of the members of another instance below which one is far
	// behind.
	behindShare = 0.9
)

// toldCount returns the number of members to tell; 0 in small fleets. The caller holds mu.
func (t *Table) toldCount() int {
	if known := len(t.members) + 1; known >= minToldMembers || t.told >= minToldMembers {
		return known
	}
	return 0
}

// ReplyTo returns the reply to a message. An instance that has just started, where many
// are known, gets many of them at once, so that all soon agree on who there is.
func (t *Table) ReplyTo(received Gossip) Gossip {
	g := t.Reply(received.From.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isBehind(received.Known, len(t.members)+1) {
		return g
	}
	included := map[string]bool{received.From.Name: true}
	for _, m := range g.Updates {
		included[m.Name] = true
	}
	added := 0
	for name, e := range t.members {
		if included[name] || e.State == blackboard.Dead {
			continue
		}
		g.Updates = append(g.Updates, e.Member)
		if added++; added == maxCatchUpMembers {
			break
		}
	}
	g.addCPUShares()
	return g
}

// isBehind reports whether an instance that tells that it knows some members is far behind
// one that knows others.
func isBehind(known, others int) bool {
	return known > 0 && others >= minToldMembers && float64(known) < behindShare*float64(others)
}

// IsBehind reports whether this instance is far behind the sender of a message.
func (t *Table) IsBehind(g Gossip) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return isBehind(len(t.members)+1, g.Known)
}
