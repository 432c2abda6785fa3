package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/pkg/client"
)

const operatorPause = 100 * time.Millisecond

// awaitEndpoints returns when the leader knows n ready endpoints.
func (d *driver) awaitEndpoints(ctx context.Context, n int) error {
	for {
		list, err := d.operator.Endpoints(ctx)
		ready := 0
		for _, e := range list {
			if e.State() == "ready" {
				ready++
			}
		}
		if err == nil && ready == n {
			return nil
		}
		if !clock.Pause(ctx, operatorPause) {
			return fmt.Errorf("%d of %d endpoints are ready: %w", ready, n, err)
		}
	}
}

// awaitDone returns the job after it has ended.
func (d *driver) awaitDone(ctx context.Context, id string) (j client.Job, err error) {
	for {
		if j, err = d.operator.Job(ctx, id); err != nil {
			return j, err
		}
		if j.State() == "done" {
			return j, nil
		}
		if !clock.Pause(ctx, operatorPause) {
			return j, fmt.Errorf("job %s is %s: %s: %w", id, j.State(), j.Reason(), ctx.Err())
		}
	}
}

// declarationOf returns the declaration of the demo's workspaces.
func declarationOf(tokens map[string]string) []byte {
	var b strings.Builder
	for _, n := range names {
		_, _ = fmt.Fprintf(&b, `[[workspace]]
name = %q
tenant = %q
guarantee = { members = 2, accelerators = 8, adjacency = "rack" }
limits = { in_flight = 40, queued = 200 }
token_digests = [%q]

`, n, n, keys.Digest(tokens[n]))
	}
	return []byte(b.String())
}
