// Package proof knows for how long the records in use were proven to be the newest ones of
// the store, so that a key that was withdrawn is refused in time also by an instance that
// can't hear of it.
package proof

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of the boot clock, which counts the time for which the machine is
// suspended as well; the runtime's clock does not.
type Time time.Duration

// None is the time of a proof that does not exist.
const None Time = math.MinInt64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// BootTime reads the boot clock.
func BootTime() (Time, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return None, err
	}
	return Time(now.Nano()), nil
}
