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
	// endedKept bounds the ended tasks that the worker still reports.
	endedKept      = 256
	defaultRunTime = 100 * time.Millisecond
	farFuture      = time.Hour
	// marksKept covers the renewals of one lease whose answers were lost.
	marksKept = 8
)

// Host decides what a worker does with its tasks; every method takes the worker's own time.
// One goroutine at a time may use it.
type Host struct {
	accelerators int
	records      map[task.ID]record
	ended        []task.ID
	// floor is the largest fence of a task that was forgotten; a late reservation at or below it is refused.
	floor lease.FencingToken
	saved int
}

// record is one task.
type record struct {
	id           task.ID
	fence        lease.FencingToken
	accelerators int
	payload      string
	state        task.State
	lease        lease.Held
	endsAt       time.Time
	// percent is the speed of a running task; at 0 it holds no accelerators and left is the run time that it still needs.
	percent   int
	left      time.Duration
	throttled task.Sequence
	marks     []marked
	watch     task.GangWatch
}

// marked is when the worker took the order with a mark.
type marked struct {
	mark task.Sequence
	at   time.Time
}

// NewHost returns a worker without tasks.
func NewHost(accelerators int) *Host {
	return &Host{accelerators: accelerators, records: map[task.ID]record{}}
}

// CarryOut carries out one order and returns why it was refused, or an empty string.
func (h *Host) CarryOut(o task.Order, now time.Time) (refusal string) {
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

// Advance ends the leases and tasks that are due, and reports whether one ended.
func (h *Host) Advance(now time.Time) (changed bool) {
	for k, r := range h.records {
		switch {
		case r.state.Final():
			continue
		case !r.lease.Valid(now):
			r.state = task.Expired
		case r.advances() && !now.Before(r.endsAt):
			r.state = task.Succeeded
			if strings.HasPrefix(r.payload, "fail") {
				r.state = task.Failed
			}
		default:
			continue
		}
		h.records[k] = r
		h.end(k)
		changed = true
	}
	return changed
}

// Next returns how long until a lease or a task is due.
func (h *Host) Next(now time.Time) time.Duration {
	soonest := now.Add(farFuture)
	for _, r := range h.records {
		if r.state.Final() {
			continue
		}
		if r.lease.ExpiresAt().Before(soonest) {
			soonest = r.lease.ExpiresAt()
		}
		if r.advances() && r.endsAt.Before(soonest) {
			soonest = r.endsAt
		}
	}
	return max(0, soonest.Sub(now))
}

// Reports returns the state of each task that the worker remembers, sorted by member.
func (h *Host) Reports() []task.Report {
	list := make([]task.Report, 0, len(h.records))
	for _, r := range h.list() {
		list = append(list, task.NewReport(r.id, r.fence, r.state))
	}
	return list
}

// Saved returns the number of running tasks that were checkpointed before they were stopped.
func (h *Host) Saved() int { return h.saved }

// Held returns the number of accelerators that reserved and running tasks hold.
func (h *Host) Held() (n int) {
	for _, r := range h.records {
		n += r.held()
	}
	return n
}

// HeldBy returns the number of accelerators that the task holds under the fence.
func (h *Host) HeldBy(id task.ID, f lease.FencingToken) int {
	if r, known := h.records[id]; known && r.fence == f {
		return r.held()
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
	case known && r.fence.Supersedes(o.FencingToken()):
		return "the fence is void"
	case known && r.fence == o.FencingToken() && r.state.Final():
		return "the task has ended: " + string(r.state)
	case known && r.fence == o.FencingToken():
		r.take(o.Sequence(), now)
		h.records[o.ID()] = r
		return ""
	case known && !r.state.Final():
		return "an older reservation is in force"
	case !o.FencingToken().Supersedes(h.floor):
		return "the fence is too old"
	case h.Held()+o.Accelerators() > h.accelerators:
		return "not enough free accelerators"
	}
	r = record{
		id: o.ID(), fence: o.FencingToken(), accelerators: o.Accelerators(), payload: o.Payload(), state: task.Reserved, percent: 100,
		lease: lease.NewHeld(now, o.LeaseDuration()), watch: o.Watch(),
	}
	r.take(o.Sequence(), now)
	h.records[o.ID()] = r
	return ""
}

func (h *Host) start(o task.Start, now time.Time) (refusal string) {
	if r, known := h.records[o.ID()]; known && r.fence == o.FencingToken() && r.state == task.Succeeded {
		return ""
	}
	return h.edit(o.ID(), o.FencingToken(), func(r *record) {
		if r.state == task.Reserved {
			r.state, r.endsAt = task.Running, now.Add(runTime(r.payload))
		}
	})
}

// renew counts the length from the order that the leader knows was taken, so that a late renewal extends nothing.
func (h *Host) renew(o task.Renew, now time.Time) (refusal string) {
	return h.edit(o.ID(), o.FencingToken(), func(r *record) {
		for _, m := range r.marks {
			next := lease.NewHeld(m.at, o.LeaseDuration())
			if m.mark == o.BaseSequence() && next.ExpiresAt().After(r.lease.ExpiresAt()) {
				r.lease = next
			}
		}
		r.take(o.Sequence(), now)
	})
}

// stop also remembers a task that was never reserved, so that a late reservation is refused.
func (h *Host) stop(o task.Stop) (refusal string) {
	r, known := h.records[o.ID()]
	switch {
	case known && r.fence.Supersedes(o.FencingToken()):
		return ""
	case known && r.fence == o.FencingToken() && r.state.Final():
		return ""
	case !known || r.fence != o.FencingToken():
		r = record{id: o.ID(), fence: o.FencingToken()}
	}
	if o.Checkpoint() && r.state == task.Running {
		h.saved++
	}
	r.state = task.Stopped
	h.records[o.ID()] = r
	h.end(o.ID())
	return ""
}

// throttle ignores an order that is older than the latest one, as it may be when it arrives late.
func (h *Host) throttle(o task.Throttle, now time.Time) (refusal string) {
	r, known := h.records[o.ID()]
	if known && r.fence == o.FencingToken() && !r.state.Final() {
		switch {
		case o.Sequence() <= r.throttled:
			return ""
		case r.state != task.Running:
			return "the task does not run"
		case o.Percent() > 0 && r.percent == 0 && h.Held()+r.accelerators > h.accelerators:
			return "not enough free accelerators"
		}
	}
	return h.edit(o.ID(), o.FencingToken(), func(r *record) {
		if r.percent > 0 {
			r.left = r.endsAt.Sub(now) * time.Duration(r.percent) / 100
		}
		if r.percent, r.throttled = o.Percent(), o.Sequence(); r.percent > 0 {
			r.endsAt = now.Add(r.left * 100 / time.Duration(r.percent))
		}
	})
}

// edit changes a task that holds accelerators under the given fence.
func (h *Host) edit(id task.ID, fence lease.FencingToken, f func(*record)) (refusal string) {
	r, known := h.records[id]
	switch {
	case known && r.fence.Supersedes(fence):
		return "the fence is void"
	case !known || r.fence != fence:
		return "the task is not reserved"
	case r.state.Final():
		return "the task has ended: " + string(r.state)
	}
	f(&r)
	h.records[id] = r
	return ""
}

// end forgets the oldest ended tasks.
func (h *Host) end(id task.ID) {
	h.ended = append(h.ended, id)
	if len(h.ended) <= endedKept {
		return
	}
	oldest := h.ended[0]
	h.ended = h.ended[1:]
	if r, ok := h.records[oldest]; ok && r.state.Final() && !slices.Contains(h.ended, oldest) {
		h.floor = max(h.floor, r.fence)
		delete(h.records, oldest)
	}
}

// advances reports whether the task uses up its run time.
func (r record) advances() bool { return r.state == task.Running && r.percent > 0 }

// held returns the number of accelerators that the task holds.
func (r record) held() int {
	if r.state.Final() || r.state == task.Running && r.percent == 0 {
		return 0
	}
	return r.accelerators
}

// take remembers when an order was taken; marks only grow, so a late copy of an older order is ignored.
func (r *record) take(m task.Sequence, now time.Time) {
	if n := len(r.marks); n > 0 && m <= r.marks[n-1].mark {
		return
	}
	r.marks = append(slices.Clone(r.marks), marked{mark: m, at: now})
	r.marks = r.marks[max(0, len(r.marks)-marksKept):]
}

// runTime reads payloads such as "sleep 200ms" and "fail 10ms".
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
