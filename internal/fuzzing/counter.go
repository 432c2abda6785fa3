package fuzzing

import (
	"strconv"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// CI runs this many checks, and aims at this many steps of each stateful test.
const (
	ciChecks = 200
	ciSteps  = 10_000
)

// Counter counts the steps of a stateful test: the actions that ran to their end. The empty action, which only
// checks, is not counted.
type Counter struct {
	steps atomic.Int64
}

// NewCounter returns a counter that logs its steps at the end of the test. With the number of checks of CI or more,
// a test that ran fewer steps than CI aims at fails.
func NewCounter(t *testing.T) *Counter {
	t.Helper()
	c := &Counter{}
	t.Cleanup(func() {
		n := c.steps.Load()
		t.Logf("%d steps", n)
		checks, err := strconv.Atoi(variable(ChecksVariable, "0"))
		if least := int64(checks) * ciSteps / ciChecks; err == nil && checks >= ciChecks && n < least && !t.Failed() {
			t.Errorf("%d steps in %d checks, fewer than %d", n, checks, least)
		}
	})
	return c
}

// Actions returns the actions so that they are counted.
func (c *Counter) Actions(actions map[string]func(*rapid.T)) map[string]func(*rapid.T) {
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
