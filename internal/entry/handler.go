package entry

import (
	"context"
	"net/http"
	"time"

	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/telemetry"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// drainTime is how long net/http may wait for the rest of a body that is not needed before it sends the answer.
const drainTime = 50 * time.Millisecond

// ServeHTTP serves one caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	begun := time.Now()
	countRequest(h.Context())
	control := http.NewResponseController(w)
	// The deadline of the answer before on this connection no longer counts.
	_ = control.SetWriteDeadline(time.Time{})
	ctx, span := e.tracer.Start(telemetry.ExtractHeader(h.Context(), h.Header), "request")
	defer span.End()
	b := newBody(h)
	result := e.handle(ctx, h, b, control, begun)
	e.note(h, result)
	now := time.Now()
	e.metrics.record(result, now.Sub(begun))
	if !b.ended {
		_ = control.SetReadDeadline(now.Add(drainTime))
		w.Header().Set("Connection", "close")
	}
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	_ = control.SetWriteDeadline(now.Add(e.bodyTimeout))
	reply(w, h.Method, result)
}

// handle returns the result for the caller; it refuses before it dispatches wherever it can.
func (e *Entry) handle(
	ctx context.Context, h *http.Request, b *body, control *http.ResponseController, now time.Time,
) request.Result {
	if e.stopping.Load() {
		return request.NewRefused(outcome.Stopping, "the entry host is stopping", retryLater)
	}
	f, err := parse(h, e.deadline, e.maxDeadline)
	if err != nil {
		return request.NewRefused(outcome.BadRequest, err.Error(), 0)
	}
	t, refusal := e.authorize(f)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, now.Add(f.deadline))
	defer cancel()
	data, refusal := e.receive(ctx, b, control, now.Add(min(f.deadline, e.bodyTimeout)))
	defer e.buffered.Add(-b.share)
	if refusal != nil {
		return refusal
	}
	r := f.request(e.ids.draw(), data, now)
	got, refusal := e.queue.enter(ctx, t, r.Urgency(), e.queueWait)
	if refusal != nil {
		return refusal
	}
	defer e.queue.release(&got)
	return e.serve(ctx, r, &got)
}

// authorize returns the workspace of a request whose token fits.
func (e *Entry) authorize(f form) (t *tenure, refusal request.Result) {
	t, ok := e.board.policy.Load().tenures[f.workspace]
	if !ok && e.board.control.Load().heardAt.IsZero() {
		return nil, request.NewRefused(outcome.ControlAway, "the entry host has no configuration yet", retryLater)
	}
	if !ok {
		return nil, request.NewRefused(outcome.UnknownWorkspace, "the workspace does not exist", 0)
	}
	if !keys.Match(f.token, t.workspace.TokenDigests()) {
		return nil, request.NewRefused(outcome.Unauthorized, "the token is not valid for the workspace", 0)
	}
	return t, nil
}

// note logs a request that was not answered; faults of the caller and losses are of interest at any load.
func (e *Entry) note(h *http.Request, result request.Result) {
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
	case request.Answered, request.Unkept:
	}
}
