package proof

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a question that is logged as a change of the fence, and against another
// answer than requests get.
func TestWouldAdmitReportsNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newTestFence(5 * time.Second)
		f.advanceBy(t, 0)
		f.Admits()
		f.OnChange = func(bool, time.Duration) { t.Error("a change was reported") }
		if !f.WouldAdmit() {
			t.Error("refuses with a new proof")
		}
		time.Sleep(5 * time.Second)
		if f.WouldAdmit() {
			t.Error("admits with a proof that is too old")
		}
		f.OnChange = func(bool, time.Duration) {}
		if f.Admits() {
			t.Error("requests are admitted")
		}
	})
}
