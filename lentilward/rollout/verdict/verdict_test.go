package verdict

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name  string
		spans []Sample
		want  Judgement
	}{
		{"nothing", nil, NoDoubt},
		{"no bad reply", []Sample{{New: 20, Old: 100}}, NoDoubt},
		{"all bad at once", []Sample{{New: 4, NewBad: 4, Old: 40}}, IsBad},
		{"few bad ones prove nothing yet", []Sample{{New: 3, NewBad: 3, Old: 40}}, InDoubt},
		{"one in a few", []Sample{{New: 10, NewBad: 1, Old: 90, OldBad: 1}}, NoDoubt},
		{"a quarter", []Sample{{New: 10, NewBad: 2, Old: 70}, {New: 10, NewBad: 3, Old: 70}}, IsBad},
		{"both fail alike", []Sample{{New: 20, NewBad: 10, Old: 100, OldBad: 50}}, NoDoubt},
		// All servers are slow in the second span, in which the new version got most calls.
		{"slow span", []Sample{{New: 5, Old: 75}, {New: 30, NewBad: 30, Old: 50, OldBad: 50}}, NoDoubt},
		{"old one worse", []Sample{{New: 20, NewBad: 4, Old: 100, OldBad: 90}}, NoDoubt},
		// Only the new version is bad in the span under load, in which few calls are left for
		// the old one.
		{"under load", []Sample{{New: 10, Old: 150}, {New: 30, NewBad: 12, Old: 4}}, IsBad},
		{"no old replies at the time", []Sample{{New: 20, Old: 200}, {New: 20, NewBad: 8}}, IsBad},
		{"no old replies at all", []Sample{{New: 20, NewBad: 20}}, NoDoubt},
	} {
		if got := Judge(c.spans); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a test that does not have the chances of Fisher's: the tea tasting
// experiment has 1 of 70 for four of four.
func TestTailIsFishers(t *testing.T) {
	if got := tail([]Sample{{New: 4, NewBad: 4, Old: 4}}); math.Abs(got-1.0/70) > 1e-12 {
		t.Errorf("got %v, want 1/70", got)
	}
	if got := tail([]Sample{{New: 4, NewBad: 3, Old: 4, OldBad: 1}}); math.Abs(got-17.0/70) > 1e-12 {
		t.Errorf("got %v, want 17/70", got)
	}
}

// Guards against verdicts on good versions by chance: each look at one of 300 rollouts of
// 60 replies, where 2 % of all replies are bad.
func TestGoodVersionsAreRarelyJudgedBad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	wrong := 0
	for range 300 {
		spans := make([]Sample, 6)
	rollout:
		for n := range 300 {
			s := &spans[n/50]
			bad := 0
			if random.Float64() < 0.02 {
				bad = 1
			}
			if n%5 == 0 {
				s.New, s.NewBad = s.New+1, s.NewBad+bad
			} else {
				s.Old, s.OldBad = s.Old+1, s.OldBad+bad
			}
			if Judge(spans) == IsBad {
				wrong++
				break rollout
			}
		}
	}
	if wrong > 3 {
		t.Errorf("%d of 300 good versions were judged bad", wrong)
	}
}
