package audit

import (
	"fmt"
	"time"

	"lentilward.org/lentilload/operator"
	"lentilward.org/schema/operatorpb"
	"lentilward.org/schema/standpb"
)

// checkServers counts overloads of cold servers and crashes.
func (f *Findings) checkServers(e *Evidence) {
	for _, x := range e.Ledger {
		f.WorkAfterDrain = max(f.WorkAfterDrain, time.Duration(x.DrainingUs)*time.Microsecond)
		if x.Cold && x.InFlight > x.Bears {
			f.ColdOverloads++
			f.example(fmt.Sprintf("cold overload: %s had %d in flight, bears %d, request %s from %s",
				x.Server, x.InFlight, x.Bears, x.RequestId, x.Instance))
		}
	}
	for _, s := range e.Servers {
		f.CrashedServers += int(s.Crashes)
	}
}

// checkWithdrawals finds the last work that began in a data centre after its
// withdrawal was accepted and before its return was.
func (f *Findings) checkWithdrawals(e *Evidence) {
	for _, a := range e.Accepted {
		if a.DataCentre == "" || !a.Withdrawn {
			continue
		}
		until := returned(e.Accepted, a)
		for _, x := range e.Ledger {
			begin := time.UnixMicro(x.StartUs)
			if x.DataCentre == a.DataCentre && begin.After(a.Time) && begin.Before(until) {
				f.WorkAfterWithdrawal = max(f.WorkAfterWithdrawal, begin.Sub(a.Time))
			}
		}
	}
}

// returned is when the data centre of a withdrawal was returned.
func returned(accepted []operator.Accepted, a operator.Accepted) time.Time {
	until := time.Now()
	for _, b := range accepted {
		if b.DataCentre == a.DataCentre && !b.Withdrawn && b.Revision > a.Revision && b.Time.Before(until) {
			until = b.Time
		}
	}
	return until
}

// checkChanges looks for each accepted change in the configuration at the end.
func (f *Findings) checkChanges(e *Evidence) {
	for _, a := range e.Accepted {
		f.ConfigInForce = max(f.ConfigInForce, a.InForce)
		for _, h := range e.History {
			if !holds(h, a) {
				f.RevertedChanges++
				f.example(fmt.Sprintf("reverted: change %s of revision %d", a.ID, a.Revision))
			}
		}
	}
	for _, c := range e.Configs {
		for _, other := range e.Configs {
			if c.Revision != other.Revision {
				f.RevertedChanges++
				f.example(fmt.Sprintf("instances end at revisions %d and %d", c.Revision, other.Revision))
				return
			}
		}
	}
}

// holds tells whether a history has a change at its revision, or no longer
// reaches back that far.
func holds(history []*operatorpb.HistoryEntry, a operator.Accepted) bool {
	for _, h := range history {
		if h.Revision == a.Revision {
			return h.ChangeId == a.ID
		}
	}
	return len(history) > 0 && history[0].Revision > a.Revision
}

// ColdLoad returns the moments at which a cold server had work arrive, for
// plots.
func ColdLoad(ledger []*standpb.LedgerEntry) []*standpb.LedgerEntry {
	var cold []*standpb.LedgerEntry
	for _, x := range ledger {
		if x.Cold {
			cold = append(cold, x)
		}
	}
	return cold
}
