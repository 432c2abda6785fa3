package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
)

const (
	// ticketMargin is the least remaining validity of a ticket for a start that is decided now.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryPause is the pause before the next inquiry after a failed one.
	adviceRetryPause = 500 * time.Millisecond
	// ticketRefused is the reason a worker gives when it refuses a start because of its ticket.
	ticketRefused = "ticket"
)

// verdict is the advisor's answer about a worker for a step. The approval does not change, but a ticket expires and
// has to be renewed.
type verdict struct {
	approved   bool
	ticket     string
	validUntil time.Time
}

// advice holds the advisor's answers. The advisor handles one call at a time.
type advice struct {
	verdicts  map[batch.TaskID]map[batch.Incarnation]verdict
	inquiring bool
	retryAt   time.Time
}

// Approval is the advisor's permission for a worker to run a step, with the ticket that proves it.
type Approval struct {
	worker string
	ticket string
}

// NewApproval returns an approval of the worker with the given ID.
func NewApproval(worker, ticket string) Approval { return Approval{worker: worker, ticket: ticket} }

// Worker returns the ID of the approved worker.
func (a Approval) Worker() string { return a.worker }

// Ticket returns the ticket to pass to the worker with the start.
func (a Approval) Ticket() string { return a.ticket }

// AdviceReceived records the answer to an inquiry. The tickets are valid for the given duration from the time of the
// inquiry.
func (c *Core) AdviceReceived(asked time.Time, i placement.Inquiry, approvals []Approval, validity time.Duration) {
	c.advice.inquiring = false
	known := c.advice.verdicts[i.Step()]
	if known == nil {
		known = map[batch.Incarnation]verdict{}
		c.advice.verdicts[i.Step()] = known
	}
	tickets := map[string]string{}
	for _, a := range approvals {
		tickets[a.worker] = a.ticket
	}
	for _, incarnation := range i.Workers() {
		ticket, approved := tickets[incarnation.ID()]
		known[incarnation] = verdict{approved: approved, ticket: ticket, validUntil: asked.Add(validity)}
	}
}

// AdviceFailed records that an inquiry got no answer; the next one is made after a pause.
func (c *Core) AdviceFailed(now time.Time) {
	c.advice.inquiring = false
	c.advice.retryAt = now.Add(adviceRetryPause)
}

// verdicts returns the advisor's answers, with approvals whose ticket is about to expire marked as expired.
func (c *Core) verdicts(now time.Time) placement.Verdicts {
	all := placement.Verdicts{}
	for step, known := range c.advice.verdicts {
		all[step] = map[batch.Incarnation]placement.Verdict{}
		for incarnation, v := range known {
			switch {
			case !v.approved:
				all[step][incarnation] = placement.Denied
			case now.Add(ticketMargin).Before(v.validUntil):
				all[step][incarnation] = placement.Approved
			default:
				all[step][incarnation] = placement.Expired
			}
		}
	}
	return all
}

// ticket returns the ticket for a task on a worker; ok is false if the task needs a ticket and has no valid one.
func (c *Core) ticket(now time.Time, j *batch.Job, id batch.TaskID, incarnation batch.Incarnation) (ticket string, ok bool) {
	if !c.state.CurrentQueue(j).RequiresAdvice() {
		return "", true
	}
	v := c.advice.verdicts[id.StepKey()][incarnation]
	return v.ticket, v.approved && now.Before(v.validUntil)
}

// dropTicket drops the advisor's answer about a worker that refused its ticket.
func (c *Core) dropTicket(id batch.TaskID, h *host) {
	delete(c.advice.verdicts[id.StepKey()], h.announcement.Incarnation())
}

// inquire adds the plan's inquiry to the actions unless one is in flight or the pause after a failure has not passed.
func (c *Core) inquire(now time.Time, p placement.Plan, a *Actions) {
	i, ok := p.Inquiry()
	if !ok || c.advice.inquiring || now.Before(c.advice.retryAt) {
		return
	}
	c.advice.inquiring = true
	a.inquiry, a.hasInquiry = i, true
}

// forgetAdvice drops the answers about steps of jobs that have ended.
func (c *Core) forgetAdvice(s batch.State) {
	for step := range c.advice.verdicts {
		if j, known := s.Job(step.Job()); !known || !j.Active() {
			delete(c.advice.verdicts, step)
		}
	}
}
