package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

// Actions is what a step wants done.
type Actions struct {
	ends     []batch.End
	forget   time.Time
	marks    []batch.RunCheckpoint
	inquiry  placement.Inquiry
	inquires bool

	maintenance []Maintenance
	groups      []batch.Group
	orders      []Addressed
	decisions   []Decision
	wake        time.Time
}

// Ends returns the ends of runs to commit.
func (a Actions) Ends() []batch.End { return a.ends }

// Forget returns before which time ended jobs are to be dropped; the zero time means that none are.
func (a Actions) Forget() time.Time { return a.forget }

// Marks returns the checkpoints to commit.
func (a Actions) Marks() []batch.RunCheckpoint { return a.marks }

// Maintenance returns the machines to take down; Maintain or NewSkip is to be committed when that was done, and
// MaintenanceFailed called when not.
func (a Actions) Maintenance() []Maintenance { return a.maintenance }

// Inquiry returns what to ask the advisor; Advised or Unadvised is to be called when that has ended.
func (a Actions) Inquiry() (i placement.Inquiry, ok bool) { return a.inquiry, a.inquires }

// Groups returns the runs to commit as begun; Begun is to be called for those that were.
func (a Actions) Groups() []batch.Group { return a.groups }

// Orders returns the orders to send.
func (a Actions) Orders() []Addressed { return a.orders }

// Decisions returns what the step decided, for the log.
func (a Actions) Decisions() []Decision { return a.decisions }

// Wake returns when the next step is due at the latest.
func (a Actions) Wake() time.Time { return a.wake }

// Addressed is an order to the worker of an agent.
type Addressed struct {
	agent string
	order run.Order
}

// Agent returns the agent's name.
func (a Addressed) Agent() string { return a.agent }

// Order returns the order.
func (a Addressed) Order() run.Order { return a.order }

// Decision is one decision about a run or a worker, for the log.
type Decision struct {
	id     run.ID
	worker string
	what   string
	why    string
	age    time.Duration
}

// ID returns the run, or the zero ID when the decision is about a worker.
func (d Decision) ID() run.ID { return d.id }

// Worker returns the worker's id.
func (d Decision) Worker() string { return d.worker }

// What returns the decision.
func (d Decision) What() string { return d.what }

// Why returns the reason.
func (d Decision) Why() string { return d.why }

// Age returns how old the latest report of the worker was.
func (d Decision) Age() time.Duration { return d.age }
