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
	// proofCheckInterval is the interval at which an instance checks whether it needs a
	// proof from elsewhere: one that reads the store and has a recent one does not.
	proofCheckInterval = 200 * time.Millisecond
	// proofInterval is the shortest time between two questions while proofs come, and
	// proofHold how long a peer may wait for a newer proof before it answers: longer than
	// a watch. An instance then asks about once a second and learns of each proof at once.
	proofInterval = 600 * time.Millisecond
	proofHold     = time.Second
	// minProofStep is how much a proof must be newer to be worth an answer. The same proof
	// seems a little newer or older each time, by the time on the way.
	minProofStep = 50 * time.Millisecond
	// proofCallTimeout bounds a question beyond the time for which the peer may wait.
	proofCallTimeout = 300 * time.Millisecond
	// proofLateness is how late the next proof may be before another instance is asked.
	proofLateness = 400 * time.Millisecond
	// proofFetchTimeout bounds a fetch of the records that a proof is about.
	proofFetchTimeout = time.Second
	// proofRetryPause is the pause after a round in which nobody had a recent proof.
	proofRetryPause = 200 * time.Millisecond
	// revisionPollInterval is the interval at which an instance checks whether records that
	// it already fetches have come.
	revisionPollInterval = 10 * time.Millisecond
)

// connectProof connects the components that find out and check for how long the records
// in use have been the newest.
func (g *Gateway) connectProof() {
	g.fence = proof.New()
	g.fence.OnChange = func(admits bool, age time.Duration) {
		g.log.Warn("trust in the keys changed", "admits", admits, "proof-age", age, "revision", g.mirror.Revision(), "reads", g.readsStore())
	}
	g.follower.Clock = func() (proof.Time, error) { return g.fence.Clock() }
	g.follower.OnProof = g.directory.Prove
	g.follower.MaxProofWait = g.fence.MaxWatchWait
	g.directory.OnProof = g.fence.Advance
	g.peers.Proof = func(ctx context.Context, q proof.Question) (proof.Answer, error) {
		return g.fence.Answer(ctx, q, g.mirror.Revision), nil
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

// keepProven keeps the proof recent until the context ends. The answers of the store to
// the follower are proofs; an instance that gets none asks the peers that read the store,
// and has the follower ask the store itself when these don't help.
func (g *Gateway) keepProven(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		begunAt, pause := time.Now(), proofCheckInterval
		if g.needsProofOfOthers() {
			if pause = proofRetryPause; g.askForProof(ctx, &failures) {
				pause = proofInterval - time.Since(begunAt)
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// needsProofOfOthers reports whether this instance has to ask for proofs: it has records,
// and the store gives it no proofs.
func (g *Gateway) needsProofOfOthers() bool {
	return g.fence.Within() > 0 && g.mirror.Revision() > 0 && !(g.readsStore() && g.fence.Age() < g.lateProofAge())
}

// lateProofAge returns the age from which on a proof is later than the watches of an
// instance that reads the store make it.
func (g *Gateway) lateProofAge() time.Duration {
	return proof.WatchGap + g.fence.MaxWatchWait() + proofLateness
}

// askForProof asks a peer that reads the store for a newer proof, then another one, and
// then the store and any peer. It reports whether one had a recent proof. failures counts
// the questions without success: each leads to another peer.
func (g *Gateway) askForProof(ctx context.Context, failures *int) bool {
	wait, level := proofHold, slog.LevelInfo
	if g.fence.Age() > g.lateProofAge() {
		wait, level = 0, slog.LevelDebug
	}
	readers, others := g.proofSources()
	for range min(len(readers), 2) {
		if g.askPeer(ctx, readers[*failures%len(readers)], wait, level) {
			return true
		}
		*failures++
		wait = 0
	}
	g.log.Log(ctx, level, "asking the store for a proof", "readers", len(readers), "proof-age", g.fence.Age(), "revision", g.mirror.Revision())
	changed := g.fence.Changed()
	g.follower.Confirm()
	if len(others) > 0 && g.askPeer(ctx, others[rand.IntN(len(others))], 0, level) {
		return true
	}
	select {
	case <-changed:
		return g.fence.Age() < g.lateProofAge()
	case <-time.After(proofCallTimeout):
	case <-ctx.Done():
	}
	return false
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
	if answer.Revision == 0 || !g.awaitRevision(ctx, m, answer.Revision) {
		g.log.Log(ctx, level, "a peer has no proof about the records at hand", "peer", m.Name, "theirs", answer.Revision, "revision", g.mirror.Revision())
		return false
	}
	provenAt := answer.ProvenAt(asked)
	g.directory.Prove(provenAt)
	now, err := g.fence.Clock()
	return err == nil && now.Sub(provenAt) < g.lateProofAge()
}

// awaitRevision fetches records from a peer if this instance does not have those up to a
// revision, and reports whether it has them then.
func (g *Gateway) awaitRevision(ctx context.Context, m blackboard.Member, revision uint64) bool {
	if g.mirror.Revision() >= revision {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, proofFetchTimeout)
	defer cancel()
	// This returns at once if another fetch from the peer is running.
	g.prober.OnNewerRevision(ctx, m.Address, revision)
	for waited := time.Duration(0); waited < proofCallTimeout && g.mirror.Revision() < revision; waited += revisionPollInterval {
		select {
		case <-time.After(revisionPollInterval):
		case <-ctx.Done():
			return false
		}
	}
	return g.mirror.Revision() >= revision
}
