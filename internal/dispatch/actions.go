package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/speed"
)

// Actions is the outcome of one step, which the caller carries out.
type Actions struct {
	crashes      []batch.RunCrash
	ends         []batch.End
	forgetBefore time.Time
	checkpoints  []batch.RunCheckpoint
	inquiry      placement.Inquiry
	hasInquiry   bool

	maintenance   []Maintenance
	groups        []batch.Group
	orders        []AddressedOrder
	decisions     []Decision
	waiting       *Waiting
	speeds        map[speed.Class]int
	moves         int
	pairs         int
	keptApart     int
	evacuatedRuns int
	wake          time.Time
}

// Crashes returns the runs to commit under which workers crashed. They are committed before the ends, so that no run
// of a task that is given up is placed again.
func (a Actions) Crashes() []batch.RunCrash { return a.crashes }

// Ends returns the run ends to commit.
func (a Actions) Ends() []batch.End { return a.ends }

// ForgetBefore returns the time before which jobs must have ended to be dropped; the zero time means that none is
// dropped.
func (a Actions) ForgetBefore() time.Time { return a.forgetBefore }

// Checkpoints returns the checkpoints to commit.
func (a Actions) Checkpoints() []batch.RunCheckpoint { return a.checkpoints }

// Maintenance returns the machines to take down. After each success the caller commits Maintain, or NewSkip for a
// machine that does not exist; after each failure it calls MaintenanceFailed.
func (a Actions) Maintenance() []Maintenance { return a.maintenance }

// Inquiry returns the question to the advisor, if there is one. The caller reports the result with AdviceReceived or
// AdviceFailed.
func (a Actions) Inquiry() (i placement.Inquiry, ok bool) { return a.inquiry, a.hasInquiry }

// Groups returns the runs to commit as begun. The caller passes each group that was committed to RunsCommitted.
func (a Actions) Groups() []batch.Group { return a.groups }

// Orders returns the orders to send, in this sequence.
func (a Actions) Orders() []AddressedOrder { return a.orders }

// Decisions returns the log records of the step.
func (a Actions) Decisions() []Decision { return a.decisions }

// Waiting returns the counts of waiting tasks and of workers; ok is false if this step did not count them.
func (a Actions) Waiting() (w Waiting, ok bool) {
	if a.waiting == nil {
		return w, false
	}
	return *a.waiting, true
}

// EvacuatedRuns returns the number of runs that workers in evacuated availability zones list.
func (a Actions) EvacuatedRuns() int { return a.evacuatedRuns }

// Speeds returns the number of observed workers by class of speed; it is nil if this step did not count them.
func (a Actions) Speeds() map[speed.Class]int { return a.speeds }

// Moves returns the number of runs that are ordered to stop because faster workers are free.
func (a Actions) Moves() int { return a.moves }

// Pairs returns the number of pairs of images of which one is known to slow the other down.
func (a Actions) Pairs() int { return a.pairs }

// KeptApart returns the number of placements that chose another worker to keep such images apart.
func (a Actions) KeptApart() int { return a.keptApart }

// Wake returns the latest time for the next step.
func (a Actions) Wake() time.Time { return a.wake }

// AddressedOrder is an order together with the agent that receives it.
type AddressedOrder struct {
	agent string
	order run.Order
}

// Agent returns the name of the receiving agent.
func (a AddressedOrder) Agent() string { return a.agent }

// Order returns the order for the agent's worker.
func (a AddressedOrder) Order() run.Order { return a.order }

// Decision is the log record of one decision about a run or a worker.
type Decision struct {
	id        run.ID
	worker    string
	kind      string
	reason    string
	order     run.OrderID
	answered  run.OrderID
	session   uint64
	reportAge time.Duration
	listAge   time.Duration
	lostWork  float64
	cause     LossCause
}

// ID returns the run, or the zero ID if the decision is about a worker.
func (d Decision) ID() run.ID { return d.id }

// Worker returns the worker's ID; it is empty if no worker is involved.
func (d Decision) Worker() string { return d.worker }

// Kind returns the kind of decision, such as start, stop or lost.
func (d Decision) Kind() string { return d.kind }

// Reason returns why the decision was taken, as text for the log.
func (d Decision) Reason() string { return d.reason }

// LostWork returns the work that the end of a run loses, in core-seconds, and the cause; both are zero for any other
// decision.
func (d Decision) LostWork() (coreSeconds float64, cause LossCause) { return d.lostWork, d.cause }

// OrderID returns the latest order to start the run, or the zero value if this leader gave none.
func (d Decision) OrderID() run.OrderID { return d.order }

// Answered returns the order about the run that the worker's latest list shows as answered, or the zero value.
func (d Decision) Answered() run.OrderID { return d.answered }

// Session returns the number of the agent's session; it is 0 if no worker is involved.
func (d Decision) Session() uint64 { return d.session }

// ListAge returns the age of the worker's latest list; it is 0 if there is none.
func (d Decision) ListAge() time.Duration { return d.listAge }

// ReportAge returns the age of the worker's latest report; it is 0 if no worker is involved.
func (d Decision) ReportAge() time.Duration { return d.reportAge }
