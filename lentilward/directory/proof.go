package directory

import "lentilward.org/lentilward/proof"

// Prove records that at a time the store had no newer records than those that are queued
// or applied. OnProof is called with that time once Current shows them, unless the store has come back
// from an older copy and may not know yet what was withdrawn before.
func (d *Directory) Prove(at proof.Time) {
	d.mu.Lock()
	if len(d.pending) > 0 || d.applying {
		d.pendingProof = max(d.pendingProof, at)
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	if d.provesWithdrawals() {
		d.OnProof(at)
	}
}

// finishApplying ends the application of records that were queued together with a proof.
func (d *Directory) finishApplying(proven proof.Time) {
	d.mu.Lock()
	d.applying = false
	if len(d.pending) == 0 {
		proven, d.pendingProof = max(proven, d.pendingProof), proof.None
	}
	d.mu.Unlock()
	if proven != proof.None && d.provesWithdrawals() {
		d.OnProof(proven)
	}
}
