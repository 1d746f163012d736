package main

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"lentilward.org/platform"
)

// keepRecord keeps the record of the number of instances up to date until the context
// ends. One instance writes it, rarely, and only where holders are needed.
func (h *holders) keepRecord(ctx context.Context) {
	tick := time.NewTicker(fleetCheckInterval)
	defer tick.Stop()
	var wrongSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		record, delay, wrong := h.nextRecord()
		if !wrong {
			wrongSince = time.Time{}
			continue
		}
		if wrongSince.IsZero() {
			wrongSince = time.Now()
		}
		if time.Since(wrongSince) < delay {
			continue
		}
		wrongSince = time.Time{}
		var revision uint64
		if present := h.fleet.record.Load(); present != nil {
			revision = present.revision
		}
		callCtx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
		err := h.writeRecord(callCtx, revision, record)
		cancel()
		h.log.Info("number of instances written to the store", "needed", record != nil, "instances", h.fleet.size(), "expected-revision", revision, "error", err)
	}
}

// nextRecord returns the record that the store should have. wrong is set if it has another
// and this instance is to write it, once that has been so for the delay. A record is nil
// if the store should have none.
func (h *holders) nextRecord() (record *fleetRecord, delay time.Duration, wrong bool) {
	plan, present, members := h.plan.Load(), h.fleet.record.Load(), h.board.Members.Load()
	if plan == nil && present == nil || h.fleet.remembered() != nil || time.Since(h.fleet.started) < fleetWriteDelay || members.Rank("fleet") != 0 {
		return nil, 0, false
	}
	if plan == nil {
		return nil, fleetShrinkDelay, true
	}
	record = &fleetRecord{Instances: h.fleet.known(), DataCentres: make(map[string]int), Holders: plan.AllHolders()}
	for _, m := range members.List {
		record.DataCentres[m.DataCentre]++
	}
	switch {
	case present == nil:
		return record, 0, true
	case float64(record.Instances) < fleetKnownShare*float64(present.Instances):
		return record, fleetShrinkDelay, true
	case float64(record.Instances)*fleetKnownShare > float64(present.Instances), !slices.Equal(record.Holders, present.Holders):
		return record, fleetWriteDelay, true
	}
	return nil, 0, false
}

// storeFleetRecord writes or deletes the record of the fleet if it has the revision.
func storeFleetRecord(ctx context.Context, store *platform.Store, revision uint64, record *fleetRecord) error {
	expect := []platform.Condition{{Key: fleetKey, Revision: revision}}
	if record == nil {
		_, err := store.Commit(ctx, expect, nil, []string{fleetKey})
		return err
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = store.Commit(ctx, expect, []platform.Write{{Key: fleetKey, Value: value}}, nil)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}
