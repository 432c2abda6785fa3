package entry

import (
	"net/http"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/route"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// judge records the verdict on an endpoint after an attempt.
func (e *Entry) judge(target fleet.Endpoint, v route.Verdict, now time.Time) {
	if e.health.Record(e.board.fleet.Load(), target, v, now) {
		e.logger.Warn("endpoint set aside after failures in a row", "endpoint", target.Name())
	}
}

// verdict tells failures of the endpoint or its agent from those that the request, its caller or a full endpoint causes.
func verdict(result request.Result) route.Verdict {
	switch t := result.(type) {
	case request.Answered:
		if t.Status() >= http.StatusInternalServerError {
			return route.Faulty
		}
		return route.Sound
	case request.Refused:
		switch t.Reason() {
		case outcome.Leaving, outcome.EndpointSilent, outcome.StaleIncarnation, outcome.ConnectionLost, outcome.Incompatible:
			return route.Faulty
		case outcome.NoSlot:
			return route.Full
		default:
			return route.Unclear
		}
	case request.Lost:
		if t.Reason() == outcome.ConnectionLost || t.Reason() == outcome.AnswerTruncated {
			return route.Faulty
		}
		return route.Unclear
	case request.Unkept:
		return route.Unclear
	}
	return route.Unclear
}
