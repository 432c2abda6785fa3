package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
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
	if !a.board.begin() {
		s.Refuse()
		return
	}
	answered := true
	defer func() { a.board.end(answered) }()
	_ = s.SetReadDeadline(time.Now().Add(readTimeout))
	f, err := wire.ReadForward(s, time.Now())
	if err != nil {
		a.logger.Warn("request refused", "peer", s.RemoteAddr().String(), "error", err)
		s.Refuse()
		return
	}
	ctx, span := a.tracer.Start(telemetry.Extract(ctx, traceContext), "endpoint")
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, f.Request().Deadline())
	defer cancel()
	result, taken := a.admit(ctx, s, f)
	_ = s.SetDeadline(time.Now().Add(writeTimeout))
	if err := wire.WriteAnswer(s, f.Request().ID(), result, a.board.InFlight()); err != nil {
		a.logger.Warn("answer not delivered", "request", f.Request().ID(), "error", err)
		answered = !taken || s.Context().Err() != nil
		return
	}
	s.CloseWrite()
	if taken {
		answered = delivered(s)
	}
}

// delivered waits until the entry ends its side, which it does when it has the whole answer or no longer wants it.
func delivered(s *link.Stream) bool {
	_, err := s.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// admit refuses what must not reach the endpoint; each of these refusals comes before a connection is opened. It
// reports whether it read the body, which it does only when the request has a slot.
func (a *Agent) admit(ctx context.Context, s *link.Stream, f wire.Forward) (result request.Result, taken bool) {
	if f.Incarnation() != a.incarnation {
		return request.NewRefused(outcome.StaleIncarnation, "the agent has restarted", retryLater), false
	}
	if !a.board.enter(a.slots) {
		return request.NewRefused(outcome.NoSlot, "all slots of the endpoint are taken", retryLater), false
	}
	defer a.board.leave()
	switch a.board.State() {
	case fleet.Leaving:
		return request.NewRefused(outcome.Leaving, "the endpoint is leaving", retryLater), false
	case fleet.Silent:
		return request.NewRefused(outcome.EndpointSilent, "the endpoint does not answer probes", retryLater), false
	case fleet.Ready:
	}
	r, err := f.ReadBody(s, a.bodyLimit)
	if err != nil {
		a.logger.Warn("request refused", "peer", s.RemoteAddr().String(), "request", f.Request().ID(), "error", err)
		if errors.Is(err, wire.ErrTooLarge) {
			return request.NewRefused(outcome.TooLarge, "the body exceeds the limit of the agent", 0), false
		}
		return request.NewRefused(outcome.BadRequest, "the body did not arrive whole at the agent", 0), false
	}
	_ = s.SetReadDeadline(time.Time{})
	return a.call(ctx, r), true
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
		return failed(ctx, connected.Load())
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode < http.StatusOK || answer.StatusCode > maxStatus {
		return request.NewLost(outcome.AnswerTruncated, fmt.Sprintf("the endpoint answered with status %d", answer.StatusCode))
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, int64(a.bodyLimit)+1))
	if err != nil {
		return request.NewLost(outcome.AnswerTruncated, "the endpoint's answer ended early")
	}
	if len(body) > a.bodyLimit {
		return request.NewLost(outcome.TooLarge, "the endpoint's answer exceeds the limit")
	}
	return request.NewAnswered(answer.StatusCode, forCaller(r.Method(), answer.Header), body)
}

// forCaller drops the headers that concern one connection; the length that answers a HEAD request is kept.
func forCaller(method string, h http.Header) request.Headers {
	length := h.Get("Content-Length")
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range answerDropped {
		h.Del(name)
	}
	if method == http.MethodHead && length != "" {
		h.Set("Content-Length", length)
	}
	return request.Headers(h)
}

// maxStatus is the largest status that HTTP has.
const maxStatus = 599

// build makes the HTTP request; a request that is not idempotent gets a body that net/http cannot send again.
func (a *Agent) build(ctx context.Context, r request.Request) (h *http.Request, err error) {
	if !strings.HasPrefix(r.Target(), "/") {
		return nil, fmt.Errorf("target %q does not begin with a slash", r.Target())
	}
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

func failed(ctx context.Context, connected bool) request.Result {
	if !connected {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return request.NewRefused(outcome.DeadlineExceeded, "no connection to the endpoint before the deadline", 0)
		}
		return request.NewRefused(outcome.EndpointSilent, "no connection to the endpoint", retryLater)
	}
	switch ctx.Err() {
	case nil:
	case context.DeadlineExceeded:
		return request.NewLost(outcome.DeadlineExceeded, "the endpoint did not answer before the deadline")
	default:
		return request.NewLost(outcome.Cancelled, "the entry gave up before the endpoint answered")
	}
	return request.NewLost(outcome.ConnectionLost, "the connection to the endpoint was lost")
}
