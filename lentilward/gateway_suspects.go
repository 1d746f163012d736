package main

import (
	"context"
	"strings"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/domain"
)

const (
	// poisonRewriteDelay is how long after a return of the store the first of poisonRewriters
	// instances checks the records of poison requests, and poisonRewriteStep how much later
	// each of the others does.
	poisonRewriteDelay = 5 * time.Second
	poisonRewriteStep  = 30 * time.Second
	poisonRewriters    = 3
	// poisonRewritePause is the pause between two records, each of which takes two writes.
	poisonRewritePause = 50 * time.Millisecond
)

// connectSuspects connects the components that find requests which crash servers.
func (g *Gateway) connectSuspects() {
	g.suspects = suspect.New(g.board, suspect.MaxRequestCrashes)
	g.suspects.Broadcast = func(ctx context.Context, reports []suspect.Report) {
		ctx = context.WithoutCancel(ctx)
		go func() {
			g.suspects.AcceptRuns(ctx, g.links.ReportSuspects(ctx, g.board.Members.Load().AlivePeers(), reports))
		}()
	}
	g.suspects.Persist = g.poisonWriter.Enqueue
	g.suspects.OnChange = func(r blackboard.SuspectRequest) {
		g.log.Warn("the suspicion that a request crashes servers has changed", "fingerprint", r.Fingerprint, "refused", r.IsRefused(),
			"lost-servers", len(r.Lost), "proven", r.Proven, "trials", r.Trials, "age", time.Since(r.RefusedAt))
	}
	g.crashes = suspect.NewWatch(g.log)
	g.crashes.OnLoss = func(r suspect.Run, at time.Time) {
		g.suspects.RecordLoss(context.Background(), r.Fingerprint, r.Server.Process, r.RequestID, at)
	}
	g.trials = newTrials(g.board, g.suspects, g.links, g.peers, g.log)
	g.peers.MergeSuspects = g.suspects.Merge
	g.metrics.RegisterGauge("lentilward_suspect_requests", "Requests during which backend servers were lost, and that have not run well since.",
		func() float64 { return float64(g.board.Suspects.Load().Suspected) })
	g.metrics.RegisterGauge("lentilward_refused_requests", "Requests that are refused but for trials, since they have crashed backend servers.",
		func() float64 { return float64(g.board.Suspects.Load().Refused) })
}

// refuseSuspects connects the requests of callers and the ends of calls with the list of
// suspects.
func (g *Gateway) refuseSuspects() {
	g.callers.IsPoison = func(r *domain.Request, tenant string) bool {
		return g.board.Suspects.Load().Refused > 0 && g.suspects.IsRefused(suspect.RequestFingerprint(r, tenant))
	}
	g.callers.StartTrial = func(ctx context.Context, r *domain.Request, tenant string, deadline time.Time) (func(bool), time.Duration) {
		return g.trials.start(ctx, suspect.RequestFingerprint(r, tenant), deadline)
	}
	g.engine.OnRan = func(fingerprint uint64, at time.Time) { g.suspects.RecordRun(context.Background(), fingerprint, at) }
	g.engine.OnLost, g.engine.OnGivenUp, g.engine.OnReplaced = g.crashes.Lost, g.crashes.GivenUp, g.crashes.Replaced
}

// mergePoisonRequests merges the poison requests among new records into the list
// of suspects.
func (g *Gateway) mergePoisonRequests(records []mirror.Record) {
	for _, r := range records {
		if r.Deleted || !strings.HasPrefix(r.Key, poisonPrefix) {
			continue
		}
		fingerprint, record, err := decodePoison(r.Key, r.Value)
		if err != nil {
			g.log.Error("record of a poison request is malformed", "key", r.Key, "error", err)
			continue
		}
		g.log.Info("received the record of a poison request", "fingerprint", fingerprint, "proven", record.Proven, "trials", record.Trials, "revision", r.Revision)
		g.suspects.MergeStored(fingerprint, record.Proven, record.Trials)
	}
}

// restorePoisonRecords corrects the records of poison requests after the store has come back
// from an older copy, until the context ends.
func (g *Gateway) restorePoisonRecords(ctx context.Context) {
	timer := time.NewTimer(poisonRewriteDelay)
	timer.Stop()
	for {
		select {
		case <-g.storeReturned:
			if rank := g.board.Members.Load().Rank("poison records"); rank < poisonRewriters {
				timer.Reset(poisonRewriteDelay + time.Duration(rank)*poisonRewriteStep)
			}
		case <-timer.C:
			for _, r := range g.outdatedPoisonRecords() {
				g.poisonWriter.Enqueue(r)
				select {
				case <-time.After(poisonRewritePause):
				case <-ctx.Done():
					return
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// outdatedPoisonRecords returns the requests whose record in the store is missing or says
// something else, and those that have run well although they have a record.
func (g *Gateway) outdatedPoisonRecords() []blackboard.SuspectRequest {
	recorded := make(map[uint64]poisonRecord)
	for _, r := range g.mirror.List(poisonPrefix) {
		if fingerprint, record, err := decodePoison(r.Key, r.Value); err == nil {
			recorded[fingerprint] = record
		}
	}
	var outdated []blackboard.SuspectRequest
	for fingerprint, r := range g.board.Suspects.Load().ByFingerprint {
		record, isRecorded := recorded[fingerprint]
		isOutdated := isRecorded && !r.RanAt.IsZero()
		if r.IsRefused() {
			isOutdated = suspect.IsPersisted(r) && (!isRecorded || record != poisonRecord{Proven: r.Proven, Trials: r.Trials})
		}
		if isOutdated {
			outdated = append(outdated, r)
		}
	}
	return outdated
}
