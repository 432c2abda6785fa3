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

// pingSilence ends a stream whose member has stopped pinging.
const pingSilence = 5 * time.Second

// heard is a ping on its way to the hub.
type heard struct {
	ping    task.Ping
	verdict chan task.Verdict
}

// hub is the controller that hears the members of the gangs whose first member is on this worker.
type hub struct {
	pings chan heard
}

func newHub() *hub { return &hub{pings: make(chan heard)} }

// run answers pings until ctx ends.
func (h *hub) run(ctx context.Context) error {
	decide := gang.NewHub()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-h.pings:
			p.verdict <- decide.RecordPing(p.ping, time.Now())
		}
	}
}

// hear hands a ping to the hub and returns its verdict.
func (h *hub) hear(ctx context.Context, p task.Ping) (v task.Verdict, err error) {
	q := heard{ping: p, verdict: make(chan task.Verdict, 1)}
	select {
	case h.pings <- q:
		return <-q.verdict, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// pings answers the pings of one member's agent.
func (a *Agent) pings(ctx context.Context, s *link.Stream) {
	if peer, err := keys.PeerIdentity(s.TLS()); err != nil || peer.Role() != agentRole {
		a.logger.Error("pings refused: the certificate is not an agent's", "peer", s.RemoteAddr().String(), "error", err)
		return
	}
	for {
		_ = s.SetDeadline(time.Now().Add(pingSilence))
		p, err := wire.ReadPing(s)
		if err != nil {
			return
		}
		v, err := a.hub.hear(ctx, p)
		if err != nil || wire.WriteVerdict(s, v) != nil {
			return
		}
	}
}
