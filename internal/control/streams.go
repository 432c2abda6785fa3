package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/telemetry"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

const (
	heartbeatInterval   = time.Second
	announcementTimeout = 3 * time.Second
	proposeTimeout      = 5 * time.Second
	writeTimeout        = 3 * time.Second
	// agentRole and entryRole are the roles in the certificates of agents and entries.
	agentRole = "agent"
	entryRole = "entry"
)

// serveAnnouncements accepts the announcements of one agent until none arrives within announcementTimeout.
func (c *Control) serveAnnouncements(ctx context.Context, s *link.Stream) {
	if refusal := c.checkLeader(); refusal != nil {
		_ = wire.WriteStatus(s, refusal)
		return
	}
	if wire.WriteStatus(s, nil) != nil {
		return
	}
	peer, err := keys.PeerIdentity(s.TLS())
	if err != nil || peer.Role() != agentRole {
		c.logger.Error("announcement refused: the certificate is not an agent's", "peer", s.RemoteAddr().String(),
			"certificate", peer.String(), "error", err)
		return
	}
	var a fleet.Announcement
	for {
		_ = s.SetReadDeadline(time.Now().Add(announcementTimeout))
		a, err = wire.ReadAnnouncement(s, a)
		if err != nil {
			c.logger.Info("announcement stream ended", "peer", peer.String(), "error", err)
			return
		}
		if name := a.Endpoint().Name(); name != peer.Name() {
			c.logger.Error("announcement under another name", "peer", peer.String(), "worker", name)
			return
		}
		if c.checkLeader() != nil || !c.rosterController.announce(ctx, a, c.node.Status().Load().Term()) {
			return
		}
		drained := keepsFromWork(c.board.state.Load(), a.Endpoint())
		_ = s.SetDeadline(time.Now().Add(writeTimeout))
		if wire.WriteReceipt(s, fleet.NewReceipt(c.rosterController.leaseDuration(a.Endpoint().Name()), drained)) != nil {
			return
		}
	}
}

// serveWatch sends the fleet and the configuration to one watcher, then each change. Once the roster is complete, it
// sends a full update, which removes the endpoints that the watcher knows only from an earlier leader.
func (c *Control) serveWatch(ctx context.Context, s *link.Stream) {
	c.awaitReady(ctx)
	if refusal := c.checkLeader(); refusal != nil {
		_ = wire.WriteStatus(s, refusal)
		return
	}
	if wire.WriteStatus(s, nil) != nil {
		return
	}
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	sent, full := fleet.NewSnapshot(0, nil), false
	config := workspace.EmptyConfig()
	for {
		roster, rosterChanged := c.board.roster.Watch()
		state, stateChanged := c.board.state.Watch()
		if c.checkLeader() != nil {
			return
		}
		u := fleet.Diff(sent, roster.snapshot)
		if !full && roster.complete(c.node.Status().Load().Term(), time.Now()) {
			u, full = fleet.NewUpdate(true, roster.snapshot.Revision(), roster.snapshot.All(), nil), true
		}
		if next := state.Config(); next.Revision() > config.Revision() {
			u, config = u.WithConfig(workspace.Diff(config, next)), next
		}
		sent = roster.snapshot
		_ = s.SetDeadline(time.Now().Add(writeTimeout))
		if wire.WriteUpdate(s, u) != nil {
			return
		}
		timer.Reset(heartbeatInterval)
		if !c.awaitChange(ctx, timer, sent, config.Revision(), rosterChanged, stateChanged) {
			return
		}
	}
}

// awaitChange waits until the fleet or the configuration changed or a heartbeat is due; it reports false if ctx ended.
func (c *Control) awaitChange(
	ctx context.Context, timer *time.Timer, sent *fleet.Snapshot, revision uint64, roster, state <-chan struct{},
) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-roster:
		case <-state:
		}
		if c.board.roster.Load().snapshot != sent || c.board.state.Load().Config().Revision() != revision {
			return true
		}
		_, roster = c.board.roster.Watch()
		_, state = c.board.state.Watch()
	}
}

// serveProposal commits one command of an entry process and sends the result.
func (c *Control) serveProposal(ctx context.Context, s *link.Stream, traceContext string) {
	ctx, span := c.tracer.Start(telemetry.Extract(ctx, traceContext), "commit")
	defer span.End()
	_ = s.SetDeadline(time.Now().Add(proposeTimeout))
	command, err := wire.ReadCommand(s)
	if err == nil {
		command, err = c.admit(s, command, time.Now())
	}
	if err != nil {
		c.logger.Warn("proposal refused", "peer", s.RemoteAddr().String(), "error", err)
		_ = wire.WriteStatus(s, wire.NewStatusError(wire.Invalid, "", err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.propose(ctx, command)
	if err != nil {
		_ = wire.WriteStatus(s, statusOf(err))
		return
	}
	if wire.WriteStatus(s, nil) == nil {
		_ = wire.WriteResult(s, result)
	}
}

// admit returns the command to propose for a peer. An entry may only claim and settle keys. The command gets the time
// of the leader, since records expire by it.
func (c *Control) admit(s *link.Stream, command registry.Command, now time.Time) (admitted registry.Command, err error) {
	peer, err := keys.PeerIdentity(s.TLS())
	if err != nil {
		return nil, err
	}
	if peer.Role() != entryRole {
		return nil, fmt.Errorf("%s may not propose", peer)
	}
	switch t := command.(type) {
	case registry.ClaimKey:
		return registry.NewClaimKey(t.Workspace(), t.Key(), t.Fingerprint(), t.Deadline(), now).WithAttemptID(t.AttemptID()), nil
	case registry.SettleKey:
		return registry.NewSettleKey(t.Workspace(), t.Key(), t.AttemptNumber(), t.Result(), now), nil
	case registry.ApplyConfig, registry.SubmitJob, registry.CancelJob, registry.ReserveGang, registry.StartGang,
		registry.StopGang, registry.ThrottleGang, registry.RequeueJob, registry.EndJob, registry.DrainEndpoint,
		registry.EvacuateZone, registry.Expire:
	}
	return nil, fmt.Errorf("%s may not propose %T", peer, command)
}

func statusOf(err error) *wire.StatusError {
	var notLeader *driver.NotLeaderError
	if errors.As(err, &notLeader) {
		return wire.NewStatusError(wire.NotLeader, notLeader.Address(), err.Error())
	}
	var unknown *driver.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return wire.NewStatusError(wire.Unknown, "", err.Error())
	}
	return wire.NewStatusError(wire.Unavailable, "", err.Error())
}
