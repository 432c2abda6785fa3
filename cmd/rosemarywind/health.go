package main

import (
	"errors"
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/agent"
	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// Names of the health checks.
const (
	leaderCheck    = "leader"
	endpointsCheck = "endpoints"
	endpointCheck  = "endpoint"
	announceCheck  = "announcing"
)

// announceTimeout is the default announcement lease. If an agent has not renewed its announcement for that long, the
// leader removes the endpoint from the roster.
const announceTimeout = 3 * time.Second

var errNoLeader = errors.New("no leader is known")

// registerEntryChecks registers checks that a leader and at least one endpoint are known.
func registerEntryChecks(h *telemetry.Health, b *entry.Board) {
	h.Register(leaderCheck, func() error {
		if b.Control().Load().Leader() == "" {
			return errNoLeader
		}
		return nil
	})
	h.Register(endpointsCheck, func() error {
		if len(b.Fleet().Load().All()) == 0 {
			return errors.New("no endpoint is known")
		}
		return nil
	})
}

// registerAgentChecks registers checks that the endpoint is ready and that a leader accepted a recent announcement.
func registerAgentChecks(h *telemetry.Health, b *agent.Board, clock func() time.Time) {
	h.Register(endpointCheck, func() error {
		if s := b.State(); s != fleet.Ready {
			return fmt.Errorf("the endpoint is %s", s)
		}
		return nil
	})
	h.Register(announceCheck, func() error {
		if at := b.AnnouncedAt(); clock().Sub(at) > announceTimeout {
			return fmt.Errorf("no leader took an announcement within %s", announceTimeout)
		}
		return nil
	})
}

// registerControlChecks registers a check that a leader is known.
func registerControlChecks(h *telemetry.Health, status func() driver.Status) {
	h.Register(leaderCheck, func() error {
		if status().Leader() == "" {
			return errNoLeader
		}
		return nil
	})
}
