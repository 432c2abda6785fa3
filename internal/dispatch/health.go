package dispatch

import "time"

// health counts the consecutive failures of a worker and holds its quarantine.
type health struct {
	failures         int
	quarantine       time.Duration
	quarantinedUntil time.Time
}

const (
	// quarantineAfter is the number of consecutive failures after which a worker is quarantined.
	quarantineAfter = 2
	// minQuarantine and maxQuarantine bound the length of a quarantine, which doubles each time.
	minQuarantine = 3 * time.Second
	maxQuarantine = 24 * time.Second
)

// recordFailure counts a run that failed, timed out or was refused by an unhealthy worker.
func (h *health) recordFailure(now time.Time) {
	h.failures++
	if h.failures < quarantineAfter {
		return
	}
	h.quarantine = min(max(2*h.quarantine, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Add(h.quarantine)
}

// recordSuccess resets the failures and the quarantine after a run that is done.
func (h *health) recordSuccess() { *h = health{} }

// quarantined reports whether the worker is in quarantine.
func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }
