package rollout

// ledger accounts for the permits of one rollout, so that their sum stays within what the
// record allows, whatever instances and earlier controllers have done with them.
type ledger struct {
	// recorded is the bound that the record states. base is the part of it that earlier
	// controllers may have handed out.
	recorded, base int
	instances      map[process]*account
}

// process is one process of an instance.
type process struct {
	name        string
	incarnation uint64
}

// account is what one process got from this controller.
type account struct {
	sequence uint64
	granted  int
	// usedBefore is how many permits the process had used when this controller first heard
	// of it: they count in base.
	usedBefore int
	// used and held are what it has used in all and what it holds, as it last told.
	used, held int
}

func newLedger(recorded int) *ledger {
	return &ledger{recorded: recorded, base: recorded, instances: make(map[process]*account)}
}

// committed returns the permits of this controller that are used or may still be.
func (a *account) committed() int { return min(a.granted, max(0, a.used-a.usedBefore+a.held)) }

// committed returns the permits that are used or may still be.
func (l *ledger) committed() int {
	n := l.base
	for _, a := range l.instances {
		n += a.committed()
	}
	return n
}

// update takes over what a process tells in a report. It returns false if the process has
// sent another report since. Permits of earlier replies that are neither used nor held have
// expired or were never received: a process discards replies that come after it has sent
// another report.
func (l *ledger) update(from process, sequence uint64, used, held int) bool {
	a := l.instances[from]
	if a == nil {
		a = &account{usedBefore: used}
		l.instances[from] = a
	}
	if sequence <= a.sequence {
		return false
	}
	a.sequence, a.used, a.held = sequence, used, held
	return true
}

// grant hands out up to n permits to a process of which a report was just taken over.
func (l *ledger) grant(to process, n int) int {
	n = max(0, min(n, l.recorded-l.committed()))
	a := l.instances[to]
	// What has expired does not count any more.
	a.granted = a.committed() + n
	a.held += n
	return n
}
