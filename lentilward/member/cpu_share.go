package member

import (
	"math"

	"lentilward.org/lentilward/blackboard"
)

// cpuShareUnits is the number of units of a core in which shares are sent.
const cpuShareUnits = 1000

// RoundCPUShare rounds a share as it is sent, so that all instances know the same one.
func RoundCPUShare(share float64) float64 { return math.Round(share*cpuShareUnits) / cpuShareUnits }

// addCPUShares adds the shares of the members in the message.
func (g *Gossip) addCPUShares() {
	for _, m := range append([]blackboard.Member{g.From}, g.Updates...) {
		if m.CPUShare <= 0 {
			continue
		}
		if g.CPUShares == nil {
			g.CPUShares = make(map[string]uint32)
		}
		g.CPUShares[m.Name] = uint32(math.Round(min(m.CPUShare*cpuShareUnits, math.MaxUint32)))
	}
}

// mergeCPUShares records the shares that a message tells. What an older build does not
// tell stays as it is. The caller holds mu.
func (t *Table) mergeCPUShares(shares map[string]uint32) {
	for name, share := range shares {
		if e := t.members[name]; e != nil && share > 0 {
			e.CPUShare = float64(share) / cpuShareUnits
		}
	}
}
