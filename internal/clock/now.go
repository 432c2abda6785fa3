package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin is when the process began to count, by both clocks.
var (
	origin      = time.Now()
	originCount = sinceBoot()
)

// Now returns the present time by a clock that never steps and also counts the time for which the machine was suspended,
// which time.Now does not. A lease that ran out during a suspension has run out by it. Its times are to be compared only
// with each other.
func Now() time.Time { return origin.Add(sinceBoot() - originCount) }

// sinceBoot returns the time since the machine was started, suspended or not. Without that clock it is the time since the
// process began by the steady clock.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(origin)
	}
	return time.Duration(t.Nano())
}
