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

const operatorPollInterval = 100 * time.Millisecond

// awaitEndpoints returns when the leader lists n endpoints as ready.
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
		if !clock.Pause(ctx, operatorPollInterval) {
			return fmt.Errorf("await endpoints: %d of %d are ready: %w", ready, n, err)
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
		if !clock.Pause(ctx, operatorPollInterval) {
			return j, fmt.Errorf("await job %s in state %s: %s: %w", id, j.State(), j.Reason(), ctx.Err())
		}
	}
}

// newDeclaration returns the TOML declaration of the demo's workspaces, whose tokens are given by name.
func newDeclaration(tokens map[string]string) []byte {
	var b strings.Builder
	for _, n := range workspaceNames {
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
