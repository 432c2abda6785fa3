package dispatch

import "time"

// health counts what a worker did to the runs that it was given.
type health struct {
	failures int
	pause    time.Duration
	until    time.Time
}

const (
	// suspectAfter is how many runs in a row may fail before a worker is set aside.
	suspectAfter = 2
	// firstPause and longestPause bound how long a suspect worker is set aside; the pause doubles each time.
	firstPause   = 3 * time.Second
	longestPause = 24 * time.Second
)

// failed notes a run that failed, timed out or was refused by a sick worker.
func (h *health) failed(now time.Time) {
	h.failures++
	if h.failures < suspectAfter {
		return
	}
	h.pause = min(max(2*h.pause, firstPause), longestPause)
	h.until = now.Add(h.pause)
}

// succeeded notes a run that ended well.
func (h *health) succeeded() { *h = health{} }

// suspect reports whether the worker is set aside.
func (h *health) suspect(now time.Time) bool { return now.Before(h.until) }
