package main

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// maxFindings bounds the findings that are kept.
const maxFindings = 50

// ledger has what backend servers ran and what callers were told.
type ledger struct {
	answered, refused, failed atomic.Int64

	mu       sync.Mutex
	runs     map[string]int
	notRun   []string
	findings []string
}

func newLedger() *ledger { return &ledger{runs: make(map[string]int)} }

// ran notes that a server began a non-idempotent request.
func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// told notes that a caller was told that its request has not run.
func (l *ledger) told(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRun = append(l.notRun, id)
}

func (l *ledger) find(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.findings) < maxFindings {
		l.findings = append(l.findings, fmt.Sprintf(format, args...))
	}
}

// conclude checks what can be told only at the end.
func (l *ledger) conclude() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range l.runs {
		if n > 1 {
			l.findings = append(l.findings, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	for _, id := range l.notRun {
		if l.runs[id] > 0 {
			l.findings = append(l.findings, fmt.Sprintf("request %s was refused as not run and ran", id))
		}
	}
	return l.findings
}
