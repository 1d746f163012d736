package main

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// maxFindings bounds the findings recorded during a run.
const maxFindings = 50

// ledger records which requests backend servers ran, which replies callers
// received and which checks failed (the findings).
type ledger struct {
	answered, refused, failed atomic.Int64
	// judged, drainsJudged and withdrawalsJudged count the requests, drains and withdrawals
	// for which a bound in time held.
	judged, drainsJudged, withdrawalsJudged atomic.Int64
	// peakMemory is the largest resident memory of an instance in MiB.
	peakMemory atomic.Int64
	lateKeys   sync.Map

	mu             sync.Mutex
	runCounts      map[string]int
	reportedNotRun []string
	findings       []string
}

func newLedger() *ledger { return &ledger{runCounts: make(map[string]int)} }

// recordRun counts a run of a non-idempotent request by a backend server.
func (l *ledger) recordRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runCounts[id]++
}

// recordNotRun records that a caller received the reply that its request did not
// run.
func (l *ledger) recordNotRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedNotRun = append(l.reportedNotRun, id)
}

func (l *ledger) addFinding(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.findings) < maxFindings {
		l.findings = append(l.findings, fmt.Sprintf(format, args...))
	}
}

// finalFindings checks, on the complete ledger, that no request ran twice and that
// none ran that was reported as not run. It returns all findings of the run.
func (l *ledger) finalFindings() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range l.runCounts {
		if n > 1 {
			l.findings = append(l.findings, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	for _, id := range l.reportedNotRun {
		if l.runCounts[id] > 0 {
			l.findings = append(l.findings, fmt.Sprintf("request %s was reported as not run but ran", id))
		}
	}
	return l.findings
}
