package main

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/proof"
)

const (
	// proofCheckInterval is the interval at which an instance checks whether it needs proofs.
	proofCheckInterval = 200 * time.Millisecond
	// proofInterval is the shortest time between two questions while proofs come, and
	// proofHold how long a peer may wait for a newer proof before it answers. An instance
	// then asks about once a second and learns of each proof at once.
	proofInterval = 600 * time.Millisecond
	proofHold     = time.Second
	// minProofStep is how much a proof must be newer to be worth an answer. The same proof
	// seems a little newer or older each time, by the time on the way.
	minProofStep = 50 * time.Millisecond
	// proofCallTimeout bounds a question beyond the time for which the peer may wait.
	proofCallTimeout = 300 * time.Millisecond
	// proofLateness is how late the next proof may be before another instance is asked.
	proofLateness = 700 * time.Millisecond
	// proofFetchTimeout bounds a fetch of the records that a proof is about.
	proofFetchTimeout = time.Second
	// proofRetryPause is the pause after a round in which nobody had a recent proof.
	proofRetryPause = 200 * time.Millisecond
	// minProofBackoff and maxProofBackoff bound the pause, from 0.5 to 1.5 times as long,
	// after a read of the store that has failed.
	minProofBackoff = 100 * time.Millisecond
	maxProofBackoff = 1500 * time.Millisecond
)

// connectProof connects the components that find out and check for how long the records
// in use have been the newest.
func (g *Gateway) connectProof() {
	g.fence = proof.New()
	g.fence.OnChange = func(admits bool, age time.Duration) {
		g.log.Warn("trust in the keys changed", "admits", admits, "proof-age", age, "records", g.mirror.Version(), "reads", g.readsStore())
	}
	g.follower.Clock = func() (proof.Time, error) { return g.fence.Clock() }
	g.follower.OnProof = g.directory.Prove
	g.directory.OnProof = g.fence.Advance
	g.peers.Proof = func(ctx context.Context, q proof.Question) (proof.Answer, error) {
		return g.fence.Answer(ctx, q, g.mirror.Version), nil
	}
	g.callers.AdmitsKeys = g.fence.Admits
	isCurrent := g.callers.IsConfigurationCurrent
	g.callers.IsConfigurationCurrent = func() bool {
		// The age of the records does not count the time for which the machine was suspended.
		return isCurrent() && (g.fence.Within() == 0 || g.fence.Age() < time.Duration(g.options.Load().Apply))
	}
	g.metrics.RegisterGauge("lentilward_proof_age_seconds", "Time since the records in use were proven to be the newest.",
		func() float64 { return g.fence.Age().Seconds() })
}

// prover keeps the proof of an instance recent.
type prover struct {
	*Gateway
	// failures counts the questions to peers without success: each leads to another peer.
	failures int
	// readAfter is when the store may be asked again after a failure, and backoff the pause
	// after the next one.
	readAfter time.Time
	backoff   time.Duration
}

// keepProven keeps the proof recent until the context ends. Instances that read the store
// ask it for its revision when its other answers have proven nothing for a while; the others
// ask one of these.
func (g *Gateway) keepProven(ctx context.Context) {
	p := prover{Gateway: g, backoff: minProofBackoff}
	for ctx.Err() == nil {
		select {
		case <-time.After(p.step(ctx)):
		case <-ctx.Done():
		}
	}
}

// step asks for a proof if this instance needs one, and returns the pause until the next
// step.
func (p *prover) step(ctx context.Context) (pause time.Duration) {
	begunAt, age := time.Now(), p.fence.Age()
	if p.fence.Within() == 0 || p.mirror.Version().IsZero() {
		return proofCheckInterval
	}
	if p.board.Members.Load().Rank("store") < storeReaderCount {
		if left := p.fence.ReadInterval() - age; left > 0 {
			return min(left, proofCheckInterval)
		}
		if p.readStore(ctx) || age < p.lateProofAge() {
			return proofCheckInterval
		}
	}
	if p.askPeers(ctx) {
		return proofInterval - time.Since(begunAt)
	}
	return proofRetryPause
}

// lateProofAge returns the age from which on a proof is later than the reads of the store
// make it.
func (g *Gateway) lateProofAge() time.Duration { return g.fence.ReadInterval() + proofLateness }

// readStore asks the store for a proof, unless it has failed to give one just before, and
// reports whether it gave one.
func (p *prover) readStore(ctx context.Context) bool {
	begunAt := time.Now()
	if begunAt.Before(p.readAfter) {
		return false
	}
	err := p.follower.Prove(ctx)
	if err == nil {
		p.backoff = minProofBackoff
		return true
	}
	p.log.Info("asking the store for a proof failed", "error", err, "took", time.Since(begunAt), "proof-age", p.fence.Age(), "pause", p.backoff)
	p.readAfter = time.Now().Add(p.backoff/2 + rand.N(p.backoff))
	p.backoff = min(2*p.backoff, maxProofBackoff)
	return false
}

// askPeers asks a peer that reads the store for a newer proof, then another one, and then
// any peer, and the store itself where the proof is so old that this instance has to refuse
// requests soon: a store that is slow must not be asked by all instances. It reports whether
// one had a recent proof.
func (p *prover) askPeers(ctx context.Context) bool {
	wait, level := proofHold, slog.LevelInfo
	if p.fence.Age() > p.lateProofAge() {
		wait, level = 0, slog.LevelDebug
	}
	readers, others := p.proofSources()
	for range min(len(readers), 2) {
		if p.askPeer(ctx, readers[p.failures%len(readers)], wait, level) {
			return true
		}
		p.failures++
		wait = 0
	}
	if p.fence.Age() >= p.fence.UrgentAge() && p.readStore(ctx) {
		return true
	}
	return len(others) > 0 && p.askPeer(ctx, others[rand.IntN(len(others))], 0, level)
}

// proofSources returns the other instances that read the store in normal operation, in an
// order of this instance's own, and the other alive peers.
func (g *Gateway) proofSources() (readers, others []blackboard.Member) {
	members := g.board.Members.Load()
	for i, m := range members.Ranked("store") {
		switch {
		case m.Name == members.Self:
		case i < storeReaderCount:
			readers = append(readers, m)
		case m.State == blackboard.Alive:
			others = append(others, m)
		}
	}
	slices.SortFunc(readers, func(a, b blackboard.Member) int {
		return cmp.Compare(gathererScore(members.Self, a.Name), gathererScore(members.Self, b.Name))
	})
	return readers, others
}

// askPeer asks a peer for a newer proof, for which the peer may wait, and reports whether
// its proof is recent. A proof counts once this instance has the records that it is about.
func (g *Gateway) askPeer(ctx context.Context, m blackboard.Member, wait time.Duration, level slog.Level) bool {
	age := g.fence.Age()
	asked, err := g.fence.Clock()
	if err != nil {
		g.log.Error("reading the boot clock failed", "error", err)
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+proofCallTimeout)
	defer cancel()
	begunAt := time.Now()
	answer, err := g.links.FetchProof(callCtx, m.Address, proof.Question{Age: age - minProofStep, Wait: wait})
	if err != nil {
		if ctx.Err() == nil {
			g.log.Log(ctx, level, "asking a peer for a proof failed", "peer", m.Name, "took", time.Since(begunAt), "proof-age", age, "error", err)
			g.connectPeer(m.Address)
		}
		return false
	}
	if answer.Version().IsZero() || !g.awaitVersion(ctx, m, answer.Version()) {
		g.log.Log(ctx, level, "a peer has no proof about the records at hand", "peer", m.Name, "theirs", answer.Version(), "records", g.mirror.Version())
		return false
	}
	provenAt := answer.ProvenAt(asked)
	g.directory.Prove(provenAt)
	now, err := g.fence.Clock()
	if err != nil {
		return false
	}
	age = max(0, now.Sub(provenAt))
	// Otherwise this instance would read the store because gossip confirms its records late.
	g.follower.MarkCurrent(age)
	return age < g.lateProofAge()
}

// awaitVersion fetches records from a peer if this instance does not have those up to a
// version, and reports whether it has them then. A version of an earlier era says nothing
// about the records at hand.
func (g *Gateway) awaitVersion(ctx context.Context, m blackboard.Member, v blackboard.Version) bool {
	if own := g.mirror.Version(); own.Compare(v) >= 0 {
		return own.Era == v.Era
	}
	ctx, cancel := context.WithTimeout(ctx, proofFetchTimeout)
	defer cancel()
	// This returns at once if another fetch from the peer is running.
	g.prober.OnNewerVersion(ctx, m.Address, v)
	return g.follower.AwaitVersion(ctx, v, proofCallTimeout) && g.mirror.Version().Era == v.Era
}
