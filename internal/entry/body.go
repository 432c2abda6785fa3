package entry

import (
	"context"
	"net/http"
	"time"

	"rosemarywind.example/rosemarywind/internal/intake"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// receiveBody reads the complete body by the given time, or returns the refusal of a body that is too large, arrives
// too slowly or finds the limit on buffered bytes reached. The caller returns what is held with intake.Release.
func (e *Entry) receiveBody(
	ctx context.Context, w http.ResponseWriter, h *http.Request, until time.Time,
) (data []byte, refusal request.Result) {
	data, err := intake.ReadBodyUntil(w, h, int64(e.bodyLimit), until)
	if err == nil {
		return data, nil
	}
	if r := intake.RefusalOf(err); r != nil {
		switch r.Reason() {
		case intake.BodyTooLarge:
			return nil, request.NewRefused(outcome.TooLarge, r.Error(), 0)
		case intake.BudgetSpent, intake.ShareSpent, intake.NoConnection, intake.Displaced:
			return nil, request.NewRefused(outcome.QueueFull, r.Error(), retryLater)
		case intake.BodyTooSlow, intake.HeadTooLarge, intake.AnswerUnread:
		}
	}
	if pastDeadline(ctx, time.Now()) {
		return nil, request.NewRefused(outcome.DeadlineExceeded, "the deadline passed before the body was whole", 0)
	}
	return nil, request.NewRefused(outcome.BadRequest, "the body is not whole or came too slowly", 0)
}

// pastDeadline reports whether the deadline of ctx has passed. It does not use ctx.Err, since net/http cancels the
// context of a request whose body it cannot read.
func pastDeadline(ctx context.Context, now time.Time) bool {
	d, ok := ctx.Deadline()
	return ok && !now.Before(d)
}
