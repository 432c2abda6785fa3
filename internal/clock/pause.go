package clock

import (
	"context"
	"time"
)

// Pause waits for d and reports whether it passed before ctx ended.
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
