package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/telemetry"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// ServeHTTP serves one caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	ctx, span := e.tracer.Start(telemetry.ExtractHeader(h.Context(), h.Header), "request")
	defer span.End()
	begun := time.Now()
	result := e.handle(ctx, w, h)
	e.metrics.record(result, time.Since(begun))
	reply(w, result)
}

// handle returns the result for the caller; it refuses before it dispatches wherever it can.
func (e *Entry) handle(ctx context.Context, w http.ResponseWriter, h *http.Request) request.Result {
	if e.stopping.Load() {
		return request.NewRefused(outcome.Stopping, "the entry host is stopping", retryLater)
	}
	f, err := parse(h, e.deadline, e.maxDeadline)
	if err != nil {
		return request.NewRefused(outcome.BadRequest, err.Error(), 0)
	}
	t, ok := e.board.policy.Load().tenures[f.workspace]
	if !ok {
		return request.NewRefused(outcome.UnknownWorkspace, "the workspace does not exist", 0)
	}
	if !keys.Match(f.token, t.workspace.TokenDigests()) {
		return request.NewRefused(outcome.Unauthorized, "the token is not valid for the workspace", 0)
	}
	now := time.Now()
	body, release, refusal := e.body(w, h, now)
	defer release()
	if refusal != nil {
		return refusal
	}
	r := f.request(e.ids.draw(), body, now)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline())
	defer cancel()
	got, refusal := e.queue.enter(ctx, t, r.Urgency(), e.queueWait)
	if refusal != nil {
		return refusal
	}
	defer e.queue.release(got)
	return e.serve(ctx, r, got)
}

// body reads the whole body within the limits; release gives its share of the buffer back.
func (e *Entry) body(w http.ResponseWriter, h *http.Request, now time.Time) (body []byte, release func(), refusal request.Result) {
	release = func() {}
	if h.ContentLength > int64(e.bodyLimit) {
		return nil, release, request.NewRefused(outcome.TooLarge, "the body exceeds the limit", 0)
	}
	if h.ContentLength == 0 {
		return nil, release, nil
	}
	share := int64(e.bodyLimit)
	if h.ContentLength > 0 {
		share = h.ContentLength
	}
	if e.buffered.Add(share) > e.bufferedLimit {
		e.buffered.Add(-share)
		return nil, release, request.NewRefused(outcome.QueueFull, "too many bodies are buffered", retryLater)
	}
	release = func() { e.buffered.Add(-share) }
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(now.Add(e.bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, h.Body, int64(e.bodyLimit)))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, release, request.NewRefused(outcome.TooLarge, "the body exceeds the limit", 0)
	}
	if err != nil {
		return nil, release, request.NewRefused(outcome.BadRequest, "the body is not whole or came too slowly", 0)
	}
	return body, release, nil
}
