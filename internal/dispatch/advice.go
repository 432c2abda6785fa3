package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
)

const (
	// ticketMargin is how long a ticket must be valid yet for a start that is decided now.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is how long the advisor is left alone after it gave no advice.
	adviceRetry = 500 * time.Millisecond
	// badTicket is the reason with which a worker refuses a ticket.
	badTicket = "ticket"
)

// verdict is the advisor's word on a worker for a step, which does not change; a ticket has to be renewed.
type verdict struct {
	approved bool
	ticket   string
	until    time.Time
}

// advice is what the advisor has said. It answers one call at a time.
type advice struct {
	verdicts map[batch.TaskID]map[batch.Incarnation]verdict
	asking   bool
	notUntil time.Time
}

// Approval is a worker that may run a step, with the ticket that proves it.
type Approval struct {
	worker string
	ticket string
}

// NewApproval returns the approval of the worker with the given id.
func NewApproval(worker, ticket string) Approval { return Approval{worker: worker, ticket: ticket} }

// Worker returns the worker's id.
func (a Approval) Worker() string { return a.worker }

// Ticket returns the ticket.
func (a Approval) Ticket() string { return a.ticket }

// Advised takes the answer to an inquiry, whose tickets are valid for a while from the time at which it was asked.
func (c *Core) Advised(asked time.Time, i placement.Inquiry, approvals []Approval, validity time.Duration) {
	c.advice.asking = false
	known := c.advice.verdicts[i.Step()]
	if known == nil {
		known = map[batch.Incarnation]verdict{}
		c.advice.verdicts[i.Step()] = known
	}
	tickets := map[string]string{}
	for _, a := range approvals {
		tickets[a.worker] = a.ticket
	}
	for _, life := range i.Workers() {
		ticket, approved := tickets[life.ID()]
		known[life] = verdict{approved: approved, ticket: ticket, until: asked.Add(validity)}
	}
}

// Unadvised notes that an inquiry was not answered.
func (c *Core) Unadvised(now time.Time) {
	c.advice.asking = false
	c.advice.notUntil = now.Add(adviceRetry)
}

// verdicts returns what the advisor has said as it counts now.
func (c *Core) verdicts(now time.Time) placement.Verdicts {
	all := placement.Verdicts{}
	for step, known := range c.advice.verdicts {
		all[step] = map[batch.Incarnation]placement.Verdict{}
		for life, v := range known {
			switch {
			case !v.approved:
				all[step][life] = placement.Denied
			case now.Add(ticketMargin).Before(v.until):
				all[step][life] = placement.Approved
			default:
				all[step][life] = placement.Expired
			}
		}
	}
	return all
}

// ticket returns the ticket for a task on a worker; ok is false if the task needs one and there is none that is valid.
func (c *Core) ticket(now time.Time, s batch.State, j *batch.Job, id batch.TaskID, life batch.Incarnation) (ticket string, ok bool) {
	if !s.CurrentQueue(j).RequiresAdvice() {
		return "", true
	}
	v := c.advice.verdicts[id.StepKey()][life]
	return v.ticket, v.approved && now.Before(v.until)
}

// rejectTicket forgets a ticket that a worker has refused.
func (c *Core) rejectTicket(id batch.TaskID, h *host) {
	delete(c.advice.verdicts[id.StepKey()], h.announcement.Incarnation())
}

// inquire passes an inquiry on unless one is under way or the advisor is to be left alone.
func (c *Core) inquire(now time.Time, p placement.Plan, a *Actions) {
	i, ok := p.Inquiry()
	if !ok || c.advice.asking || now.Before(c.advice.notUntil) {
		return
	}
	c.advice.asking = true
	a.inquiry, a.inquires = i, true
}

// forgetAdvice drops the verdicts on steps of jobs that have ended.
func (c *Core) forgetAdvice(s batch.State) {
	for step := range c.advice.verdicts {
		if j, known := s.Job(step.Job()); !known || !j.Active() {
			delete(c.advice.verdicts, step)
		}
	}
}
