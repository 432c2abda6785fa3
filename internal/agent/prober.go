package agent

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/fleet"
)

const (
	// failuresUntilSilent keeps one slow probe from taking the endpoint out of service.
	failuresUntilSilent = 2
	probePath           = "/health"
	probeBodyBytes      = 1 << 10
	leavingHeader       = "Rosemarywind-Leaving"
)

// prober is the controller that finds out whether the endpoint takes new work.
type prober struct {
	agent    *Agent
	client   *http.Client
	failures int
}

// newProber uses a connection of its own for each probe, so that a dead connection cannot hide a live endpoint.
func newProber(a *Agent) *prober {
	t := transport(1)
	t.DisableKeepAlives = true
	return &prober{agent: a, client: &http.Client{Transport: t}}
}

func (p *prober) run(ctx context.Context) error {
	for {
		state := p.probe(ctx)
		p.publish(state)
		if !clock.Pause(ctx, p.pause(state)) {
			return nil
		}
	}
}

// pause is short after a first failure: with the whole interval an endpoint that froze right after a probe was
// found after 3.0 s with the default settings, which is the bound.
func (p *prober) pause(state fleet.EndpointState) time.Duration {
	if state == fleet.Silent && p.failures < failuresUntilSilent {
		return p.agent.probeInterval / suspicionDivisor
	}
	return p.agent.probeInterval
}

// suspicionDivisor is the part of the interval after which a failed probe is repeated.
const suspicionDivisor = 5

// publish changes the section only when the state changed, since each change is announced.
func (p *prober) publish(state fleet.EndpointState) {
	section := p.agent.board.probed
	if state == fleet.Silent {
		p.failures++
		p.agent.logger.Debug("probe failed", "failures", p.failures)
		if p.failures < failuresUntilSilent {
			return
		}
	} else {
		p.failures = 0
	}
	if section.Load() != state {
		section.Publish(state)
		p.agent.logger.Info("endpoint state", "state", string(state))
	}
}

// probe asks the endpoint for its health; 503 or the leaving header means that it is leaving.
func (p *prober) probe(ctx context.Context) fleet.EndpointState {
	ctx, cancel := context.WithTimeout(ctx, p.agent.probeTimeout)
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(p.agent.endpointURL, "/")+probePath, nil)
	if err != nil {
		return fleet.Silent
	}
	answer, err := p.client.Do(h)
	if err != nil {
		return fleet.Silent
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err = io.Copy(io.Discard, io.LimitReader(answer.Body, probeBodyBytes)); err != nil {
		return fleet.Silent
	}
	if answer.StatusCode == http.StatusServiceUnavailable || answer.Header.Get(leavingHeader) != "" {
		return fleet.Leaving
	}
	return fleet.Ready
}

// announcePeriod is the interval of the renewals of an announcement.
const announcePeriod = time.Second
