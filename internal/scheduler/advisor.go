package scheduler

import (
	"context"
	"errors"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/placement"
)

// Advisor approves workers for the steps of queues that require advice.
type Advisor interface {
	// Advise returns the approvals among the workers with the given IDs, and for how long their tickets are valid.
	Advise(ctx context.Context, step batch.TaskID, workers []string) (approved []dispatch.Approval, validity time.Duration, err error)
}

// adviceTimeout bounds one inquiry. The advisor takes time for each worker and may have other inquiries in its queue.
const adviceTimeout = 5 * time.Second

var errNoAdvisor = errors.New("queue requires advice but no advisor is configured")

// adviceEnded is the event that an inquiry has been answered or has failed.
type adviceEnded struct {
	term      uint64
	inquiry   placement.Inquiry
	askedAt   time.Time
	approvals []dispatch.Approval
	validity  time.Duration
	err       error
}

func (adviceEnded) event() {}

// requestAdvice asks the advisor in the background and sends the result to the leader's loop.
func (l *leaderLoop) requestAdvice(ctx context.Context, term uint64, i placement.Inquiry) {
	ids := make([]string, len(i.Workers()))
	for n, incarnation := range i.Workers() {
		ids[n] = incarnation.ID()
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		e := adviceEnded{term: term, inquiry: i, askedAt: time.Now(), err: errNoAdvisor}
		if l.advisor != nil {
			e.approvals, e.validity, e.err = l.advisor.Advise(ctx, i.Step(), ids)
		}
		l.sendEvent(context.WithoutCancel(ctx), e)
	}()
}

// handleAdvice logs the result of an inquiry, and passes it to the core if the inquiry was made in this term.
func (l *leaderLoop) handleAdvice(core *dispatch.Core, term uint64, e adviceEnded) {
	step := e.inquiry.Step()
	l.logger.Info("advice", "step", step.String(), "workers", len(e.inquiry.Workers()), "approved", len(e.approvals),
		"validity_ms", e.validity.Milliseconds(), "took_ms", time.Since(e.askedAt).Milliseconds(), "error", e.err)
	switch {
	case e.term != term:
	case e.err != nil:
		core.AdviceFailed(time.Now())
	default:
		core.AdviceReceived(e.askedAt, e.inquiry, e.approvals, e.validity)
	}
}
