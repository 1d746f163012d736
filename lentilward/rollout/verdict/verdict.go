// Package verdict compares a new version of a service's servers with the old one by a
// statistical test for small samples.
package verdict

import "math"

// Sample counts the replies of both versions on one route in the same span of time. Bad
// replies are failures and slow ones.
type Sample struct {
	New, NewBad, Old, OldBad int
}

// Plus returns the sum of two samples.
func (s Sample) Plus(o Sample) Sample {
	return Sample{s.New + o.New, s.NewBad + o.NewBad, s.Old + o.Old, s.OldBad + o.OldBad}
}

const (
	// badSignificance bounds the chance that a version that is as good as the old one is
	// judged bad in one look. A rollout takes some hundred looks, which depend on each
	// other.
	badSignificance = 2e-4
	// doubtSignificance is the chance below which a version is not judged good yet.
	doubtSignificance = 0.005
	// minBad is the number of bad replies without which no version is judged bad.
	minBad = 4
	// minBadUnmatched is the same for replies for which there are none of the old version
	// of the same time, and minBadShareUnmatched their least share: the old version's
	// replies of another time prove less.
	minBadUnmatched      = 6
	minBadShareUnmatched = 0.15
)

// Judgement is what the replies on one route say about the new version.
type Judgement uint8

// The judgements.
const (
	// NoDoubt means that the new version is not noticeably worse.
	NoDoubt Judgement = iota
	// InDoubt means that it may be worse.
	InDoubt
	// IsBad means that it is worse.
	IsBad
)

// Judge compares the new version with the old one by the replies of successive spans of
// time. A version is judged bad if it is worse than the old one of the same spans; replies
// of spans in which the old one was bad too are no evidence against it.
func Judge(spans []Sample) Judgement {
	var all, during Sample
	for _, s := range spans {
		all = all.Plus(s)
		if s.NewBad > 0 {
			during = during.Plus(s)
		}
	}
	if all.NewBad == 0 {
		return NoDoubt
	}
	matched, pooled := tail(spans), tail([]Sample{all})
	wasOldBadToo := during.Old >= 2 && 4*share(during.OldBad, during.Old) >= share(during.NewBad, during.New)
	if all.NewBad >= minBad {
		if matched < badSignificance {
			return IsBad
		}
		// Under load few calls are left for the old version, so that its replies of the
		// same spans alone do not suffice. They must not contradict the others.
		if pooled < badSignificance && during.Old >= 2 && !wasOldBadToo {
			return IsBad
		}
		if pooled < badSignificance && during.Old == 0 && all.NewBad >= minBadUnmatched && share(during.NewBad, during.New) >= minBadShareUnmatched {
			return IsBad
		}
	}
	if matched < doubtSignificance || pooled < doubtSignificance && !wasOldBadToo {
		return InDoubt
	}
	return NoDoubt
}

func share(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// tail returns the chance that at least as many of the bad replies fall to the new version
// as did, if both versions are equally good within each span: Fisher's exact test,
// stratified by span.
func tail(spans []Sample) float64 {
	chances := []float64{1}
	observed := 0
	for _, s := range spans {
		observed += s.NewBad
		if s.New == 0 || s.NewBad+s.OldBad == 0 {
			continue
		}
		chances = convolve(chances, hypergeometric(s))
	}
	sum := 0.0
	for _, p := range chances[min(observed, len(chances)):] {
		sum += p
	}
	return min(sum, 1)
}

// hypergeometric returns, for each number of bad replies of the new version, its chance
// given the sums over both versions.
func hypergeometric(s Sample) []float64 {
	bad, total := s.NewBad+s.OldBad, s.New+s.Old
	chances := make([]float64, min(s.New, bad)+1)
	for k := max(0, bad-s.Old); k < len(chances); k++ {
		chances[k] = math.Exp(logChoose(s.New, k) + logChoose(s.Old, bad-k) - logChoose(total, bad))
	}
	return chances
}

func convolve(a, b []float64) []float64 {
	sum := make([]float64, len(a)+len(b)-1)
	for i, x := range a {
		for j, y := range b {
			sum[i+j] += x * y
		}
	}
	return sum
}

func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
