package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/telemetry"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	retryLater   = time.Second
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
)

// answerDropped are the headers of an answer that concern one connection.
var answerDropped = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forward passes one request to the endpoint and the whole answer back.
func (a *Agent) forward(ctx context.Context, s *link.Stream, traceContext string) {
	_ = s.SetReadDeadline(time.Now().Add(readTimeout))
	f, err := wire.ReadForward(s, time.Now(), a.bodyLimit)
	if err != nil {
		a.logger.Warn("request refused", "peer", s.RemoteAddr().String(), "error", err)
		s.Cancel()
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	ctx, span := a.tracer.Start(telemetry.Extract(ctx, traceContext), "endpoint")
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, f.Request().Deadline())
	defer cancel()
	result := a.admit(ctx, f)
	_ = s.SetDeadline(time.Now().Add(writeTimeout))
	if err := wire.WriteAnswer(s, f.Request().ID(), result, a.board.InFlight()); err != nil {
		a.logger.Warn("answer not delivered", "request", f.Request().ID(), "error", err)
	}
}

// admit refuses what must not reach the endpoint; each of these refusals comes before a connection is opened.
func (a *Agent) admit(ctx context.Context, f wire.Forward) request.Result {
	if f.Incarnation() != a.incarnation {
		return request.NewRefused(outcome.StaleIncarnation, "the agent has restarted", retryLater)
	}
	if !a.board.enter(a.slots) {
		return request.NewRefused(outcome.NoSlot, "all slots of the endpoint are taken", retryLater)
	}
	defer a.board.leave()
	switch a.board.State() {
	case fleet.Leaving:
		return request.NewRefused(outcome.Leaving, "the endpoint is leaving", retryLater)
	case fleet.Silent:
		return request.NewRefused(outcome.EndpointSilent, "the endpoint does not answer probes", retryLater)
	case fleet.Ready:
	}
	return a.call(ctx, f.Request())
}

// call sends the request to the endpoint; without a connection it was not run.
func (a *Agent) call(ctx context.Context, r request.Request) request.Result {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	h, err := a.build(ctx, r)
	if err != nil {
		return request.NewRefused(outcome.BadRequest, err.Error(), 0)
	}
	answer, err := a.endpoint.Do(h)
	if err != nil {
		return failed(ctx, connected.Load(), err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, int64(a.bodyLimit)+1))
	if err != nil {
		return request.NewLost(outcome.AnswerTruncated, "the endpoint's answer ended early")
	}
	if len(body) > a.bodyLimit {
		return request.NewLost(outcome.TooLarge, "the endpoint's answer exceeds the limit")
	}
	for _, name := range answerDropped {
		answer.Header.Del(name)
	}
	return request.NewAnswered(answer.StatusCode, request.Headers(answer.Header), body)
}

// build makes the HTTP request; a request that is not idempotent gets a body that net/http cannot send again.
func (a *Agent) build(ctx context.Context, r request.Request) (h *http.Request, err error) {
	var body io.Reader = bytes.NewReader(r.Body())
	if !r.Idempotent() {
		// net/http resends a request with an Idempotency-Key on its own if it can rewind the body.
		body = struct{ io.Reader }{body}
	}
	h, err = http.NewRequestWithContext(ctx, r.Method(), strings.TrimSuffix(a.endpointURL, "/")+r.Target(), body)
	if err != nil {
		return nil, fmt.Errorf("the request cannot be sent to the endpoint: %w", err)
	}
	h.ContentLength = int64(len(r.Body()))
	for name, values := range r.Headers() {
		h.Header[name] = values
	}
	telemetry.InjectHeader(ctx, h.Header)
	return h, nil
}

func failed(ctx context.Context, connected bool, err error) request.Result {
	if !connected {
		if errors.Is(err, context.DeadlineExceeded) {
			return request.NewRefused(outcome.DeadlineExceeded, "no connection to the endpoint before the deadline", 0)
		}
		return request.NewRefused(outcome.EndpointSilent, "no connection to the endpoint", retryLater)
	}
	if ctx.Err() != nil {
		return request.NewLost(outcome.DeadlineExceeded, "the endpoint did not answer before the deadline")
	}
	return request.NewLost(outcome.ConnectionLost, "the connection to the endpoint was lost")
}
