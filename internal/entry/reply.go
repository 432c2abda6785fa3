package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// reply writes the result of a request to the caller.
func reply(w http.ResponseWriter, method string, result request.Result) {
	switch t := result.(type) {
	case request.Answered:
		answer(w, method, t)
	case request.Refused:
		if t.RetryAfter() > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(t.RetryAfter().Seconds()))))
		}
		refuse(w, refusalStatus(t.Reason()), outcome.Body{
			Outcome: outcome.NotRun, Reason: t.Reason(), Message: t.Message(),
		})
	case request.Lost:
		if t.Reason() == outcome.KeyInProgress {
			w.Header().Set("Retry-After", "1")
		}
		refuse(w, lossStatus(t.Reason()), outcome.Body{
			Outcome: outcome.MayHaveRun, Reason: t.Reason(), Message: t.Message(),
		})
	case request.AnswerExpired:
		refuse(w, http.StatusGone, outcome.Body{
			Outcome: outcome.Ran, Reason: outcome.AnswerExpired,
			Message: "the request ran with status " + strconv.Itoa(t.Status()) + "; its answer is not kept",
		})
	}
}

// answer writes an endpoint's answer. For a HEAD request the endpoint's Content-Length is kept.
func answer(w http.ResponseWriter, method string, a request.Answered) {
	if a.Status() < http.StatusOK || a.Status() > maxStatus {
		refuse(w, http.StatusBadGateway, outcome.Body{
			Outcome: outcome.MayHaveRun, Reason: outcome.AnswerTruncated,
			Message: "the endpoint answered with status " + strconv.Itoa(a.Status()),
		})
		return
	}
	for name, values := range a.Headers() {
		w.Header()[name] = values
	}
	w.Header().Set(outcome.Header, string(outcome.Ran))
	if method != http.MethodHead && a.Status() != http.StatusNoContent && a.Status() != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body())))
	}
	w.WriteHeader(a.Status())
	_, _ = w.Write(a.Body())
}

// maxStatus is the largest valid HTTP status.
const maxStatus = 599

// refuse writes a reply that has a JSON body in place of an answer.
func refuse(w http.ResponseWriter, status int, b outcome.Body) {
	w.Header().Set(outcome.Header, string(b.Outcome))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(b)
}

// refusalStatus returns the HTTP status for a request that did not run.
func refusalStatus(r outcome.Reason) int {
	switch r {
	case outcome.BadRequest:
		return http.StatusBadRequest
	case outcome.Unauthorized:
		return http.StatusUnauthorized
	case outcome.UnknownWorkspace:
		return http.StatusNotFound
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.QueueFull:
		return http.StatusTooManyRequests
	case outcome.KeyReused:
		return http.StatusUnprocessableEntity
	case outcome.KeyInProgress:
		return http.StatusConflict
	case outcome.DeadlineExceeded, outcome.Cancelled:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// lossStatus returns the HTTP status for a request that may have run.
func lossStatus(r outcome.Reason) int {
	switch r {
	case outcome.KeyInProgress, outcome.KeyOutcomeUnknown:
		return http.StatusConflict
	case outcome.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
