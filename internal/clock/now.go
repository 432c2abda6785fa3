package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// The time of the process start on the Go clock and on the boot clock.
var (
	processStart    = time.Now()
	bootTimeAtStart = timeSinceBoot()
)

// Now returns the current time of a monotonic clock that, unlike that of time.Now, also counts the time for which the
// host was suspended, so that a lease can expire during a suspension. Compare its times only with each other.
func Now() time.Time { return processStart.Add(timeSinceBoot() - bootTimeAtStart) }

// timeSinceBoot returns the time since the host booted, suspended time included. Without CLOCK_BOOTTIME it returns the
// monotonic time since processStart.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
