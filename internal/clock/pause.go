package clock

import (
	"context"
	"time"
)

// Pause waits until d has elapsed or ctx ends, and reports whether d elapsed.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
