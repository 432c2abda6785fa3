package entry

import (
	"net/http"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/route"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// recordVerdict applies the quarantine rule to an endpoint after an attempt.
func (e *Entry) recordVerdict(target fleet.Endpoint, v route.Verdict, now time.Time) {
	if e.quarantine.Record(e.board.fleet.Load(), target, v, now) {
		e.logger.Warn("endpoint set aside after failures in a row", "endpoint", target.Name())
	}
}

// verdict returns what a result says about the endpoint. Faulty is a failure of the endpoint or its agent, not one that
// the request, its caller or a full endpoint causes.
func verdict(result request.Result) route.Verdict {
	switch t := result.(type) {
	case request.Answered:
		if t.Status() >= http.StatusInternalServerError {
			return route.Faulty
		}
		return route.Healthy
	case request.Refused:
		switch t.Reason() {
		case outcome.Leaving, outcome.EndpointSilent, outcome.StaleIncarnation, outcome.ConnectionLost, outcome.NotTakenUp:
			return route.Faulty
		case outcome.NoSlot:
			return route.Full
		default:
			return route.Inconclusive
		}
	case request.Lost:
		if t.Reason() == outcome.ConnectionLost || t.Reason() == outcome.AnswerTruncated {
			return route.Faulty
		}
		return route.Inconclusive
	case request.AnswerExpired:
		return route.Inconclusive
	}
	return route.Inconclusive
}
