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

// The names of the health checks.
const (
	leaderCheck    = "leader"
	endpointsCheck = "endpoints"
	endpointCheck  = "endpoint"
	announceCheck  = "announcing"
)

// announceSilence is the announcement lease: after it the leader counts the agent as gone.
const announceSilence = 3 * time.Second

var errNoLeader = errors.New("no leader is known")

func watchEntry(h *telemetry.Health, b *entry.Board) {
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

func watchAgent(h *telemetry.Health, b *agent.Board, clock func() time.Time) {
	h.Register(endpointCheck, func() error {
		if s := b.State(); s != fleet.Ready {
			return fmt.Errorf("the endpoint is %s", s)
		}
		return nil
	})
	h.Register(announceCheck, func() error {
		if at := b.AnnouncedAt(); clock().Sub(at) > announceSilence {
			return fmt.Errorf("no leader took an announcement within %s", announceSilence)
		}
		return nil
	})
}

func watchControl(h *telemetry.Health, status func() driver.Status) {
	h.Register(leaderCheck, func() error {
		if status().Leader() == "" {
			return errNoLeader
		}
		return nil
	})
}
