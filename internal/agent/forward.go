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
	retryAfter   = time.Second
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
)

// hopByHopHeaders are the headers of a response that apply to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// serveForward forwards one request to the endpoint and sends the complete answer back.
func (a *Agent) serveForward(ctx context.Context, s *link.Stream, traceContext string) {
	if !a.board.beginExchange() {
		s.Refuse()
		return
	}
	answered := true
	defer func() { a.board.endExchange(answered) }()
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
	result, bodyRead := a.admit(ctx, s, f)
	_ = s.SetDeadline(time.Now().Add(writeTimeout))
	if err := wire.WriteAnswer(s, f.Request().ID(), result, a.board.InFlight()); err != nil {
		a.logger.Warn("answer not delivered", "request", f.Request().ID(), "error", err)
		answered = !bodyRead || s.Context().Err() != nil
		return
	}
	s.CloseWrite()
	if bodyRead {
		answered = awaitDelivery(s)
	}
}

// awaitDelivery waits until the entry closes its side, which it does once it has the complete answer or has cancelled
// the request; it reports false if the deadline passes first.
func awaitDelivery(s *link.Stream) bool {
	_, err := s.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// admit sends the request to the endpoint or refuses it; it refuses before a connection to the endpoint is opened.
// bodyRead reports whether it has read the body, which it does only once the request has a slot.
func (a *Agent) admit(ctx context.Context, s *link.Stream, f wire.Forward) (result request.Result, bodyRead bool) {
	if f.Incarnation() != a.incarnation {
		return request.NewRefused(outcome.StaleIncarnation, "the agent has restarted", retryAfter), false
	}
	if !a.board.acquireSlot(a.slots) {
		return request.NewRefused(outcome.NoSlot, "all slots of the endpoint are taken", retryAfter), false
	}
	defer a.board.releaseSlot()
	switch a.board.State() {
	case fleet.Leaving:
		return request.NewRefused(outcome.Leaving, "the endpoint is leaving", retryAfter), false
	case fleet.Silent:
		return request.NewRefused(outcome.EndpointSilent, "the endpoint does not answer probes", retryAfter), false
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
	return a.callEndpoint(ctx, r), true
}

// callEndpoint sends the request to the endpoint; a request that got no connection has not run.
func (a *Agent) callEndpoint(ctx context.Context, r request.Request) request.Result {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	h, err := a.newEndpointRequest(ctx, r)
	if err != nil {
		return request.NewRefused(outcome.BadRequest, err.Error(), 0)
	}
	response, err := a.endpoint.Do(h)
	if err != nil {
		return failedResult(ctx, connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return request.NewLost(outcome.AnswerTruncated, fmt.Sprintf("the endpoint answered with status %d", response.StatusCode))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(a.bodyLimit)+1))
	if err != nil {
		return request.NewLost(outcome.AnswerTruncated, "the endpoint's answer ended early")
	}
	if len(body) > a.bodyLimit {
		return request.NewLost(outcome.TooLarge, "the endpoint's answer exceeds the limit")
	}
	return request.NewAnswered(response.StatusCode, endToEndHeaders(r.Method(), response.Header), body)
}

// endToEndHeaders removes the headers that apply to one connection only; it keeps the length in a response to HEAD.
func endToEndHeaders(method string, h http.Header) request.Headers {
	length := h.Get("Content-Length")
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if method == http.MethodHead && length != "" {
		h.Set("Content-Length", length)
	}
	return request.Headers(h)
}

// maxStatus is the largest status code of HTTP.
const maxStatus = 599

// newEndpointRequest returns the HTTP request for the endpoint; net/http cannot rewind the body of one that is not
// idempotent.
func (a *Agent) newEndpointRequest(ctx context.Context, r request.Request) (h *http.Request, err error) {
	if !strings.HasPrefix(r.Target(), "/") {
		return nil, fmt.Errorf("target %q does not begin with a slash", r.Target())
	}
	var body io.Reader = bytes.NewReader(r.Body())
	if !r.Idempotent() {
		// net/http resends a request with an Idempotency-Key by itself if it can rewind the body.
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

// failedResult returns the result of a call that ended without a response; a call with a connection may have run.
func failedResult(ctx context.Context, connected bool) request.Result {
	if !connected {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return request.NewRefused(outcome.DeadlineExceeded, "no connection to the endpoint before the deadline", 0)
		}
		return request.NewRefused(outcome.EndpointSilent, "no connection to the endpoint", retryAfter)
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
