package main

import (
	"context"
	"log/slog"
	"net/netip"
	"strconv"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/peer"
	"lentilward.org/lentilward/suspect"
)

const (
	// trialQuestionTimeout bounds the question whether a trial may run, and the message that
	// it has ended.
	trialQuestionTimeout = 200 * time.Millisecond
	// trialHomeDelay is when to ask again after the home of a request could not be asked.
	trialHomeDelay = 500 * time.Millisecond
	// trialEndMargin is how long after its deadline a trial is taken to have ended although
	// nobody has told so.
	trialEndMargin = 2 * time.Second
)

// trials starts the trials of requests that are refused because they have crashed servers.
// Of all instances, the home of a request grants them.
type trials struct {
	board    *blackboard.Board
	suspects *suspect.List
	log      *slog.Logger
	started  time.Time
	// ask asks the home whether a trial may run, and tell tells it that the trial has ended.
	ask  func(ctx context.Context, home netip.AddrPort, known suspect.Report, length time.Duration) (suspect.Grant, error)
	tell func(ctx context.Context, home netip.AddrPort, known suspect.Report) error
}

// newTrials returns trials that ask the peers and answer them.
func newTrials(board *blackboard.Board, suspects *suspect.List, links *peer.Links, peers *peer.Server, log *slog.Logger) *trials {
	t := &trials{board: board, suspects: suspects, log: log, started: time.Now(), ask: links.AskTrial, tell: links.EndTrial}
	peers.GrantTrial = t.grant
	peers.EndTrial = func(known suspect.Report) { suspects.EndTrial(known.Fingerprint) }
	return t
}

// start starts a trial of a request, which must end by the deadline. end must then be called
// with whether the request may have run. If no trial may run, end is nil, and retryAfter
// says when one may.
func (t *trials) start(ctx context.Context, fingerprint uint64, deadline time.Time) (end func(ran bool), retryAfter time.Duration) {
	// An instance that has just started may take itself for the home of everything.
	if left := discoveryPeriod - time.Since(t.started); left > 0 {
		return nil, left
	}
	members := t.board.Members.Load()
	home, found := members.Owner("trial " + strconv.FormatUint(fingerprint, 16))
	known, length := t.suspects.Find(fingerprint), time.Until(deadline)+trialEndMargin
	var grant suspect.Grant
	if !found || home.Name == members.Self {
		home.Address = netip.AddrPort{}
		grant = t.suspects.GrantTrial(ctx, known, length, !members.HasMajority)
	} else {
		askContext, cancel := context.WithTimeout(ctx, trialQuestionTimeout)
		defer cancel()
		var err error
		if grant, err = t.ask(askContext, home.Address, known, length); err != nil {
			t.log.Info("asking for a trial failed", "fingerprint", fingerprint, "home", home.Name, "error", err)
			return nil, trialHomeDelay
		}
	}
	if !grant.Granted {
		return nil, max(grant.RetryAfter, time.Millisecond)
	}
	return func(ran bool) { t.end(context.WithoutCancel(ctx), home.Address, fingerprint, ran) }, 0
}

// grant decides as the home of a request whether a trial may run.
func (t *trials) grant(ctx context.Context, known suspect.Report, length time.Duration) suspect.Grant {
	if left := discoveryPeriod - time.Since(t.started); left > 0 {
		return suspect.Grant{RetryAfter: left}
	}
	return t.suspects.GrantTrial(context.WithoutCancel(ctx), known, length, !t.board.Members.Load().HasMajority)
}

// end ends a trial that the instance at home has granted, or this one if home is not valid.
func (t *trials) end(ctx context.Context, home netip.AddrPort, fingerprint uint64, ran bool) {
	if ran {
		t.suspects.RecordTrial(ctx, fingerprint)
	}
	known := t.suspects.Find(fingerprint)
	t.log.Info("trial has ended", "fingerprint", fingerprint, "ran", ran, "refused", known.Refused > 0, "trials", known.Trials, "lost-servers", len(known.Lost))
	if !home.IsValid() {
		t.suspects.EndTrial(fingerprint)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, trialQuestionTimeout)
		defer cancel()
		if err := t.tell(ctx, home, known); err != nil {
			t.log.Info("telling that a trial has ended failed", "fingerprint", fingerprint, "error", err)
		}
	}()
}
