package holder

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hashUnit hashes a key to a number above 0 and at most 1.
func hashUnit(key string) float64 {
	return (float64(xxhash.Sum64String(key)>>11) + 1) / (1 << 53)
}

// Rank orders members by weighted rendezvous hashing for a key: a member precedes
// another with a probability given by their weights, and members that come or go do not
// change the order of the others.
func Rank(members []Member, key string) []Member {
	average := averageShare(members)
	type scored struct {
		member Member
		score  float64
	}
	list := make([]scored, 0, len(members))
	for _, m := range members {
		weight := math.Pow(shareOf(m, average)/referenceShare, weightExponent)
		list = append(list, scored{m, -math.Log(hashUnit(m.Name+"\x00"+key)) / weight})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	ranked := make([]Member, 0, len(list))
	for _, s := range list {
		ranked = append(ranked, s.member)
	}
	return ranked
}

// referenceShare is the share of a core whose weight is 1. Only ratios count.
const referenceShare = 0.1

// minShare bounds the share of a core from below, so that a wrong setting does not
// exclude a member.
const minShare = 0.01

// shareOf returns the share of a core of a member, or the average if it is not known.
func shareOf(m Member, average float64) float64 {
	if m.CPUShare > 0 {
		return max(m.CPUShare, minShare)
	}
	return average
}

// averageShare returns the average share of the members that tell theirs; referenceShare
// if none does.
func averageShare(members []Member) float64 {
	sum, n := 0.0, 0
	for _, m := range members {
		if m.CPUShare > 0 {
			sum += max(m.CPUShare, minShare)
			n++
		}
	}
	if n == 0 {
		return referenceShare
	}
	return sum / float64(n)
}
