package audit

import (
	"fmt"
	"time"

	"lentilward.org/lentilload/operator"
	"lentilward.org/schema/operatorpb"
	"lentilward.org/schema/standpb"
)

// checkServers counts crashes and calls that exceeded the limit of a cold
// server, and finds the longest time after the start of a drain at which a call
// still arrived.
func (f *Findings) checkServers(e *Evidence) {
	for _, entry := range e.Ledger {
		f.WorkAfterDrain = max(f.WorkAfterDrain, time.Duration(entry.DrainingUs)*time.Microsecond)
		if entry.Cold && entry.InFlight > entry.Bears {
			f.ColdOverloads++
			f.addExample(fmt.Sprintf("cold overload: %s had %d in flight with a limit of %d, request %s from %s",
				entry.Server, entry.InFlight, entry.Bears, entry.RequestId, entry.Instance))
		}
	}
	for _, s := range e.Servers {
		f.CrashedServers += int(s.Crashes)
	}
}

// checkWithdrawals finds the longest time after an accepted withdrawal at which
// work started in the data centre. Work after its return to service was accepted
// is left out.
func (f *Findings) checkWithdrawals(e *Evidence) {
	for _, change := range e.Accepted {
		if change.DataCentre == "" || !change.Withdrawn {
			continue
		}
		returnedAt := returnTime(e.Accepted, change)
		for _, entry := range e.Ledger {
			start := time.UnixMicro(entry.StartUs)
			if entry.DataCentre == change.DataCentre && start.After(change.AcceptedAt) && start.Before(returnedAt) {
				f.WorkAfterWithdrawal = max(f.WorkAfterWithdrawal, start.Sub(change.AcceptedAt))
			}
		}
	}
}

// returnTime returns when the data centre of a withdrawal was returned to
// service, or the current time if it was not.
func returnTime(accepted []operator.AcceptedChange, withdrawal operator.AcceptedChange) time.Time {
	returnedAt := time.Now()
	for _, b := range accepted {
		if b.DataCentre == withdrawal.DataCentre && !b.Withdrawn && b.Revision > withdrawal.Revision && b.AcceptedAt.Before(returnedAt) {
			returnedAt = b.AcceptedAt
		}
	}
	return returnedAt
}

// checkChanges checks that each accepted change is in the history of every
// instance at the end of the run, and that all instances end at one revision.
func (f *Findings) checkChanges(e *Evidence) {
	for _, a := range e.Accepted {
		f.ConfigInForceDelay = max(f.ConfigInForceDelay, a.InForceDelay)
		for _, h := range e.Histories {
			if !isChangeKept(h, a) {
				f.RevertedChanges++
				f.addExample(fmt.Sprintf("reverted change: %s of revision %d", a.ID, a.Revision))
			}
		}
	}
	for _, c := range e.Configs {
		for _, other := range e.Configs {
			if c.Revision != other.Revision {
				f.RevertedChanges++
				f.addExample(fmt.Sprintf("instances end at revisions %d and %d", c.Revision, other.Revision))
				return
			}
		}
	}
}

// isChangeKept reports whether a history has a change at its revision, or no
// longer reaches back that far.
func isChangeKept(history []*operatorpb.HistoryEntry, a operator.AcceptedChange) bool {
	for _, h := range history {
		if h.Revision == a.Revision {
			return h.ChangeId == a.ID
		}
	}
	return len(history) > 0 && history[0].Revision > a.Revision
}

// ColdArrivals returns the ledger entries of calls that arrived at a cold
// server.
func ColdArrivals(ledger []*standpb.LedgerEntry) []*standpb.LedgerEntry {
	var cold []*standpb.LedgerEntry
	for _, entry := range ledger {
		if entry.Cold {
			cold = append(cold, entry)
		}
	}
	return cold
}
