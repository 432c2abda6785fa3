package scheduler

import (
	"context"
	"errors"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/placement"
)

// Advisor says which workers may run a step, where a queue asks for that.
type Advisor interface {
	// Advise returns the approved ones of the workers with the given ids, and how long their tickets are valid.
	Advise(ctx context.Context, step batch.TaskID, workers []string) (approved []dispatch.Approval, validity time.Duration, err error)
}

// adviceTimeout bounds one inquiry; the advisor takes time for each worker, and has others in its queue.
const adviceTimeout = 5 * time.Second

var errNoAdvisor = errors.New("the queue needs advice, and no advisor is set")

// advised brings the end of an inquiry to the leader's loop.
type advised struct {
	term      uint64
	inquiry   placement.Inquiry
	asked     time.Time
	approvals []dispatch.Approval
	validity  time.Duration
	err       error
}

func (advised) event() {}

// inquire asks the advisor in the background.
func (d *director) inquire(ctx context.Context, term uint64, i placement.Inquiry) {
	ids := make([]string, len(i.Workers()))
	for n, life := range i.Workers() {
		ids[n] = life.ID()
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		e := advised{term: term, inquiry: i, asked: time.Now(), err: errNoAdvisor}
		if d.advisor != nil {
			e.approvals, e.validity, e.err = d.advisor.Advise(ctx, i.Step(), ids)
		}
		d.tell(context.WithoutCancel(ctx), e)
	}()
}

// takeAdvice passes the end of an inquiry of this term on.
func (d *director) takeAdvice(core *dispatch.Core, term uint64, e advised) {
	step := e.inquiry.Step()
	d.logger.Info("advice", "step", step.String(), "workers", len(e.inquiry.Workers()), "approved", len(e.approvals),
		"validity_ms", e.validity.Milliseconds(), "took_ms", time.Since(e.asked).Milliseconds(), "error", e.err)
	switch {
	case e.term != term:
	case e.err != nil:
		core.Unadvised(time.Now())
	default:
		core.Advised(e.asked, e.inquiry, e.approvals, e.validity)
	}
}
