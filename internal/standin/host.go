package standin

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

const (
	// maxEndedTasks bounds the ended tasks that the worker still reports.
	maxEndedTasks  = 256
	defaultRunTime = 100 * time.Millisecond
	maxIdleWait    = time.Hour
	// maxAcceptedOrders covers the renewals of one lease whose replies were lost.
	maxAcceptedOrders = 8
)

// Host applies orders to the tasks of one worker, at times of the worker's clock that the caller passes. It is not safe
// for concurrent use.
type Host struct {
	accelerators int
	records      map[task.ID]record
	ended        []task.ID
	// largestPrunedToken is the largest fencing token of a pruned task; a late reservation at or below it is refused.
	largestPrunedToken lease.FencingToken
	checkpoints        int
}

// record is the state of one task.
type record struct {
	id           task.ID
	fencingToken lease.FencingToken
	accelerators int
	payload      string
	state        task.State
	lease        lease.Held
	endsAt       time.Time
	// percent is the speed of a running task; at 0 it holds no accelerators and remaining is the run time that it needs.
	percent          int
	remaining        time.Duration
	throttleSequence task.Sequence
	accepted         []acceptedOrder
	watch            task.GangWatch
}

// acceptedOrder is the time at which the worker accepted the order with a sequence number.
type acceptedOrder struct {
	sequence task.Sequence
	at       time.Time
}

// NewHost returns a host without tasks on a worker with the given number of accelerators.
func NewHost(accelerators int) *Host {
	return &Host{accelerators: accelerators, records: map[task.ID]record{}}
}

// Execute applies one order and returns the reason for its refusal, empty if it was accepted.
func (h *Host) Execute(o task.Order, now time.Time) (refusal string) {
	h.Advance(now)
	switch t := o.(type) {
	case task.Reserve:
		return h.reserve(t, now)
	case task.Start:
		return h.start(t, now)
	case task.Renew:
		return h.renew(t, now)
	case task.Stop:
		return h.stop(t)
	case task.Throttle:
		return h.throttle(t, now)
	}
	return "unknown order"
}

// Advance expires leases and ends tasks that are due, and reports whether it changed a task.
func (h *Host) Advance(now time.Time) (changed bool) {
	for k, r := range h.records {
		switch {
		case r.state.Final():
			continue
		case !r.lease.Valid(now):
			r.state = task.Expired
		case r.progresses() && !now.Before(r.endsAt):
			r.state = task.Succeeded
			if strings.HasPrefix(r.payload, "fail") {
				r.state = task.Failed
			}
		default:
			continue
		}
		h.records[k] = r
		h.addEnded(k)
		changed = true
	}
	return changed
}

// Next returns the time until the next lease expires or the next task ends, at most an hour.
func (h *Host) Next(now time.Time) time.Duration {
	soonest := now.Add(maxIdleWait)
	for _, r := range h.records {
		if r.state.Final() {
			continue
		}
		if r.lease.ExpiresAt().Before(soonest) {
			soonest = r.lease.ExpiresAt()
		}
		if r.progresses() && r.endsAt.Before(soonest) {
			soonest = r.endsAt
		}
	}
	return max(0, soonest.Sub(now))
}

// Reports returns the state of each task, including the latest ended ones, sorted by job and index.
func (h *Host) Reports() []task.Report {
	list := make([]task.Report, 0, len(h.records))
	for _, r := range h.list() {
		list = append(list, task.NewReport(r.id, r.fencingToken, r.state))
	}
	return list
}

// Checkpoints returns the number of running tasks that were stopped with a checkpoint.
func (h *Host) Checkpoints() int { return h.checkpoints }

// HeldAccelerators returns the number of accelerators that reserved and running tasks hold.
func (h *Host) HeldAccelerators() (n int) {
	for _, r := range h.records {
		n += r.heldAccelerators()
	}
	return n
}

// HeldAcceleratorsOf returns the number of accelerators that the task holds under the fencing token.
func (h *Host) HeldAcceleratorsOf(id task.ID, token lease.FencingToken) int {
	if r, known := h.records[id]; known && r.fencingToken == token {
		return r.heldAccelerators()
	}
	return 0
}

func (h *Host) list() []record {
	list := make([]record, 0, len(h.records))
	for _, r := range h.records {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b record) int {
		return cmp.Or(strings.Compare(a.id.Job(), b.id.Job()), cmp.Compare(a.id.Index(), b.id.Index()))
	})
	return list
}

func (h *Host) reserve(o task.Reserve, now time.Time) (refusal string) {
	r, known := h.records[o.ID()]
	switch {
	case known && r.fencingToken.Supersedes(o.FencingToken()):
		return "the fence is void"
	case known && r.fencingToken == o.FencingToken() && r.state.Final():
		return "the task has ended: " + string(r.state)
	case known && r.fencingToken == o.FencingToken():
		r.addAccepted(o.Sequence(), now)
		h.records[o.ID()] = r
		return ""
	case known && !r.state.Final():
		return "an older reservation is in force"
	case !o.FencingToken().Supersedes(h.largestPrunedToken):
		return "the fence is too old"
	case h.HeldAccelerators()+o.Accelerators() > h.accelerators:
		return "not enough free accelerators"
	}
	r = record{
		id: o.ID(), fencingToken: o.FencingToken(), accelerators: o.Accelerators(), payload: o.Payload(), state: task.Reserved, percent: 100,
		lease: lease.NewHeld(now, o.LeaseDuration()), watch: o.Watch(),
	}
	r.addAccepted(o.Sequence(), now)
	h.records[o.ID()] = r
	return ""
}

func (h *Host) start(o task.Start, now time.Time) (refusal string) {
	if r, known := h.records[o.ID()]; known && r.fencingToken == o.FencingToken() && r.state == task.Succeeded {
		return ""
	}
	return h.update(o.ID(), o.FencingToken(), func(r *record) {
		if r.state == task.Reserved {
			r.state, r.endsAt = task.Running, now.Add(runTime(r.payload))
		}
	})
}

// renew extends the lease from the time at which the order that the leader knows to be accepted was accepted, so that a
// renewal that arrives late extends nothing.
func (h *Host) renew(o task.Renew, now time.Time) (refusal string) {
	return h.update(o.ID(), o.FencingToken(), func(r *record) {
		for _, a := range r.accepted {
			next := lease.NewHeld(a.at, o.LeaseDuration())
			if a.sequence == o.BaseSequence() && next.ExpiresAt().After(r.lease.ExpiresAt()) {
				r.lease = next
			}
		}
		r.addAccepted(o.Sequence(), now)
	})
}

// stop also records a task that was never reserved, so that a reservation that arrives later is refused.
func (h *Host) stop(o task.Stop) (refusal string) {
	r, known := h.records[o.ID()]
	switch {
	case known && r.fencingToken.Supersedes(o.FencingToken()):
		return ""
	case known && r.fencingToken == o.FencingToken() && r.state.Final():
		return ""
	case !known || r.fencingToken != o.FencingToken():
		r = record{id: o.ID(), fencingToken: o.FencingToken()}
	}
	if o.Checkpoint() && r.state == task.Running {
		h.checkpoints++
	}
	r.state = task.Stopped
	h.records[o.ID()] = r
	h.addEnded(o.ID())
	return ""
}

// throttle ignores an order that arrives after one with the same or a larger sequence number.
func (h *Host) throttle(o task.Throttle, now time.Time) (refusal string) {
	r, known := h.records[o.ID()]
	if known && r.fencingToken == o.FencingToken() && !r.state.Final() {
		switch {
		case o.Sequence() <= r.throttleSequence:
			return ""
		case r.state != task.Running:
			return "the task does not run"
		case o.Percent() > 0 && r.percent == 0 && h.HeldAccelerators()+r.accelerators > h.accelerators:
			return "not enough free accelerators"
		}
	}
	return h.update(o.ID(), o.FencingToken(), func(r *record) {
		if r.percent > 0 {
			r.remaining = r.endsAt.Sub(now) * time.Duration(r.percent) / 100
		}
		if r.percent, r.throttleSequence = o.Percent(), o.Sequence(); r.percent > 0 {
			r.endsAt = now.Add(r.remaining * 100 / time.Duration(r.percent))
		}
	})
}

// update applies f to a task that is reserved under the fencing token and has not ended, and refuses any other.
func (h *Host) update(id task.ID, token lease.FencingToken, f func(*record)) (refusal string) {
	r, known := h.records[id]
	switch {
	case known && r.fencingToken.Supersedes(token):
		return "the fence is void"
	case !known || r.fencingToken != token:
		return "the task is not reserved"
	case r.state.Final():
		return "the task has ended: " + string(r.state)
	}
	f(&r)
	h.records[id] = r
	return ""
}

// addEnded records that a task has ended. If more than maxEndedTasks have, it prunes the oldest, unless that one was
// reserved again.
func (h *Host) addEnded(id task.ID) {
	h.ended = append(h.ended, id)
	if len(h.ended) <= maxEndedTasks {
		return
	}
	oldest := h.ended[0]
	h.ended = h.ended[1:]
	if r, ok := h.records[oldest]; ok && r.state.Final() && !slices.Contains(h.ended, oldest) {
		h.largestPrunedToken = max(h.largestPrunedToken, r.fencingToken)
		delete(h.records, oldest)
	}
}

// progresses reports whether the task uses up its run time, which it does not while it is throttled to 0%.
func (r record) progresses() bool { return r.state == task.Running && r.percent > 0 }

// heldAccelerators returns the number of accelerators that the task holds: none if it has ended or is throttled
// to 0%.
func (r record) heldAccelerators() int {
	if r.state.Final() || r.state == task.Running && r.percent == 0 {
		return 0
	}
	return r.accelerators
}

// addAccepted records when an order was accepted; sequence numbers only grow, so a late copy of an older order is
// ignored.
func (r *record) addAccepted(s task.Sequence, now time.Time) {
	if n := len(r.accepted); n > 0 && s <= r.accepted[n-1].sequence {
		return
	}
	r.accepted = append(slices.Clone(r.accepted), acceptedOrder{sequence: s, at: now})
	r.accepted = r.accepted[max(0, len(r.accepted)-maxAcceptedOrders):]
}

// runTime returns the run time in payloads such as "sleep 200ms" and "fail 10ms", in seconds if it has no unit, and
// defaultRunTime for any other payload.
func runTime(payload string) time.Duration {
	_, text, ok := strings.Cut(payload, " ")
	if !ok {
		return defaultRunTime
	}
	if d, err := time.ParseDuration(text); err == nil {
		return d
	}
	if n, err := strconv.Atoi(text); err == nil {
		return time.Duration(n) * time.Second
	}
	return defaultRunTime
}
