package telemetry

import (
	"maps"
	"sync/atomic"
)

// Health holds the named checks of a process.
type Health struct {
	checks atomic.Pointer[map[string]func() error]
}

// NewHealth returns a health without checks, which is well.
func NewHealth() *Health {
	h := &Health{}
	h.checks.Store(&map[string]func() error{})
	return h
}

// Register adds a check that returns an error while the process cannot do its duty; a name registered again replaces its check.
func (h *Health) Register(name string, check func() error) {
	for {
		old := h.checks.Load()
		checks := maps.Clone(*old)
		checks[name] = check
		if h.checks.CompareAndSwap(old, &checks) {
			return
		}
	}
}

// Failures returns the error text of each failing check by name.
func (h *Health) Failures() map[string]string {
	failures := map[string]string{}
	for name, check := range *h.checks.Load() {
		if err := check(); err != nil {
			failures[name] = err.Error()
		}
	}
	return failures
}
