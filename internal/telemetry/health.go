package telemetry

import (
	"maps"
	"sync/atomic"
)

// Health is the set of named health checks of a process. Its methods may be called concurrently.
type Health struct {
	checks atomic.Pointer[map[string]func() error]
}

// NewHealth returns a Health without checks, which counts as healthy.
func NewHealth() *Health {
	h := &Health{}
	h.checks.Store(&map[string]func() error{})
	return h
}

// Register adds a check, which returns an error while the process cannot do its work. It replaces an earlier check of
// the same name.
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

// Failures runs all checks and returns the error text of each failing one by name; it is empty if none fails.
func (h *Health) Failures() map[string]string {
	failures := map[string]string{}
	for name, check := range *h.checks.Load() {
		if err := check(); err != nil {
			failures[name] = err.Error()
		}
	}
	return failures
}
