package fuzzing

import (
	"strconv"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// CI runs ciChecks checks of each test, and requires ciSteps steps of each stateful one.
const (
	ciChecks = 200
	ciSteps  = 10_000
)

// Counter counts the steps of a stateful test: the actions that ran to their end. The action with the empty name, which
// only checks invariants, is not counted.
type Counter struct {
	steps atomic.Int64
}

// NewCounter returns a counter that logs its steps at the end of the test. From ciChecks checks on, it fails the test
// if fewer steps per check ran than CI requires.
func NewCounter(t *testing.T) *Counter {
	t.Helper()
	c := &Counter{}
	t.Cleanup(func() {
		n := c.steps.Load()
		t.Logf("%d steps", n)
		checks, err := strconv.Atoi(getenv(ChecksVariable, "0"))
		if least := int64(checks) * ciSteps / ciChecks; err == nil && checks >= ciChecks && n < least && !t.Failed() {
			t.Errorf("%d steps in %d checks, fewer than %d", n, checks, least)
		}
	})
	return c
}

// CountActions returns the actions wrapped so that each one that runs to its end counts as a step.
func (c *Counter) CountActions(actions map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	counted := make(map[string]func(*rapid.T), len(actions))
	for name, f := range actions {
		counted[name] = func(t *rapid.T) {
			f(t)
			if name != "" {
				c.steps.Add(1)
			}
		}
	}
	return counted
}
