package agent

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// pingIdleTimeout is how long a ping stream may be idle before the hub ends it.
const pingIdleTimeout = 5 * time.Second

// pingRequest is a ping with the channel for its verdict.
type pingRequest struct {
	ping    task.Ping
	verdict chan task.Verdict
}

// hub is the controller that collects the pings of all members of each gang whose first member is on this worker.
type hub struct {
	pings chan pingRequest
}

func newHub() *hub { return &hub{pings: make(chan pingRequest)} }

// run answers pings until ctx ends.
func (h *hub) run(ctx context.Context) error {
	gangs := gang.NewHub()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-h.pings:
			p.verdict <- gangs.RecordPing(p.ping, time.Now())
		}
	}
}

// submit sends a ping to the goroutine of run and returns its verdict on the gang.
func (h *hub) submit(ctx context.Context, p task.Ping) (v task.Verdict, err error) {
	r := pingRequest{ping: p, verdict: make(chan task.Verdict, 1)}
	select {
	case h.pings <- r:
		return <-r.verdict, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// servePings answers the pings of another agent for one gang member.
func (a *Agent) servePings(ctx context.Context, s *link.Stream) {
	if peer, err := keys.PeerIdentity(s.TLS()); err != nil || peer.Role() != agentRole {
		a.logger.Error("pings refused: the certificate is not an agent's", "peer", s.RemoteAddr().String(), "error", err)
		return
	}
	for {
		_ = s.SetDeadline(time.Now().Add(pingIdleTimeout))
		p, err := wire.ReadPing(s)
		if err != nil {
			return
		}
		v, err := a.hub.submit(ctx, p)
		if err != nil || wire.WriteVerdict(s, v) != nil {
			return
		}
	}
}
