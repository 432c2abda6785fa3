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
	// silentAfterFailures is the number of failed probes in a row after which the endpoint counts as silent; one slow
	// probe does not take it out of service.
	silentAfterFailures = 2
	probePath           = "/health"
	probeBodyBytes      = 1 << 10
	leavingHeader       = "Rosemarywind-Leaving"
)

// prober is the controller that probes whether the endpoint accepts new requests.
type prober struct {
	agent    *Agent
	client   *http.Client
	failures int
}

// newProber returns a prober that opens a connection for each probe, so that a dead connection does not make a live
// endpoint seem silent.
func newProber(a *Agent) *prober {
	t := newTransport(1)
	t.DisableKeepAlives = true
	return &prober{agent: a, client: &http.Client{Transport: t}}
}

func (p *prober) run(ctx context.Context) error {
	for {
		state := p.probe(ctx)
		p.publish(state)
		if !clock.Pause(ctx, p.nextDelay(state)) {
			return nil
		}
	}
}

// nextDelay returns the time until the next probe. After a first failure it is 0, since the endpoint must be found
// silent within 3 s: with the default settings that takes one interval and the time for two probes, 2.5 s.
func (p *prober) nextDelay(state fleet.EndpointState) time.Duration {
	if state == fleet.Silent && p.failures < silentAfterFailures {
		return 0
	}
	return p.agent.probeInterval
}

// publish updates the section only when the state changed, since each update is announced to the leader.
func (p *prober) publish(state fleet.EndpointState) {
	section := p.agent.board.probedState
	if state == fleet.Silent {
		p.failures++
		p.agent.logger.Debug("probe failed", "failures", p.failures)
		if p.failures < silentAfterFailures {
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

// probe requests the endpoint's health once; status 503 or the leaving header means that it is leaving.
func (p *prober) probe(ctx context.Context) fleet.EndpointState {
	ctx, cancel := context.WithTimeout(ctx, p.agent.probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(p.agent.endpointURL, "/")+probePath, nil)
	if err != nil {
		return fleet.Silent
	}
	response, err := p.client.Do(request)
	if err != nil {
		return fleet.Silent
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, io.LimitReader(response.Body, probeBodyBytes)); err != nil {
		return fleet.Silent
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.Header.Get(leavingHeader) != "" {
		return fleet.Leaving
	}
	return fleet.Ready
}

// announcePeriod is the interval at which the announcer renews an announcement.
const announcePeriod = time.Second
