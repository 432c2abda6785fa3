package entry

import (
	"context"
	"net/http"
	"time"

	"rosemarywind.example/rosemarywind/internal/intake"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/telemetry"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// bodyDrainTimeout bounds the time that net/http reads the rest of an unused body before it sends the answer.
const bodyDrainTimeout = 50 * time.Millisecond

// ServeHTTP handles one request of a caller and always writes a reply.
func (e *Entry) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	start := time.Now()
	countReceived(h.Context())
	control := http.NewResponseController(w)
	// Remove the deadline that was set for the previous answer on this connection.
	_ = control.SetWriteDeadline(time.Time{})
	ctx, span := e.tracer.Start(telemetry.ExtractHeader(h.Context(), h.Header), "request")
	defer span.End()
	result, received := e.handle(ctx, w, h, start)
	e.logResult(h, result)
	now := time.Now()
	e.metrics.record(result, now.Sub(start))
	if !received && h.ContentLength != 0 {
		_ = control.SetReadDeadline(now.Add(bodyDrainTimeout))
		w.Header().Set("Connection", "close")
	}
	if e.closingConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	_ = control.SetWriteDeadline(now.Add(e.bodyTimeout))
	reply(w, h.Method, result)
}

// handle returns the result for the caller, and whether the whole body has been read. Wherever possible, it refuses a
// request before it is dispatched.
func (e *Entry) handle(
	ctx context.Context, w http.ResponseWriter, h *http.Request, now time.Time,
) (result request.Result, received bool) {
	defer intake.Release(h)
	if e.stopping.Load() {
		return request.NewRefused(outcome.Stopping, "the entry host is stopping", retryLater), false
	}
	head, err := parseHead(h, e.defaultDeadline, e.maxDeadline)
	if err != nil {
		return request.NewRefused(outcome.BadRequest, err.Error(), 0), false
	}
	s, refusal := e.authorize(head)
	if refusal != nil {
		return refusal, false
	}
	ctx, cancel := context.WithDeadline(ctx, now.Add(head.timeout))
	defer cancel()
	data, refusal := e.receiveBody(ctx, w, h, now.Add(min(head.timeout, e.bodyTimeout)))
	if refusal != nil {
		return refusal, false
	}
	r := head.request(e.ids.newID(), data, now)
	p, refusal := e.queue.acquire(ctx, s, r.Urgency(), e.queueWait)
	if refusal != nil {
		return refusal, true
	}
	defer e.queue.release(&p)
	return e.serve(ctx, r, &p), true
}

// authorize returns the workspace of a request if the token is valid for it, else the refusal.
func (e *Entry) authorize(head requestHead) (s *workspaceState, refusal request.Result) {
	s, ok := e.board.policy.Load().workspaces[head.workspace]
	if !ok && e.board.control.Load().heardAt.IsZero() {
		return nil, request.NewRefused(outcome.ControlUnavailable, "the entry host has no configuration yet", retryLater)
	}
	if !ok {
		return nil, request.NewRefused(outcome.UnknownWorkspace, "the workspace does not exist", 0)
	}
	if !keys.Match(head.token, s.workspace.TokenDigests()) {
		return nil, request.NewRefused(outcome.Unauthorized, "the token is not valid for the workspace", 0)
	}
	return s, nil
}

// logResult logs a request that got no answer. Refusals that are due to load or missing endpoints are logged at debug
// level; faults of the caller and lost requests are logged at info level, whatever the load.
func (e *Entry) logResult(h *http.Request, result request.Result) {
	switch t := result.(type) {
	case request.Refused:
		log := e.logger.Debug
		switch refusalStatus(t.Reason()) {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout:
		default:
			log = e.logger.Info
		}
		log("request refused", "peer", h.RemoteAddr, "reason", string(t.Reason()), "message", t.Message())
	case request.Lost:
		e.logger.Info("request lost", "peer", h.RemoteAddr, "reason", string(t.Reason()), "message", t.Message())
	case request.Answered, request.AnswerExpired:
	}
}
