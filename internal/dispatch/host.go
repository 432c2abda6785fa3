package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// host is the leader's view of an agent's host and of the worker there.
type host struct {
	agent            string
	session          uint64
	connected        bool
	reportedAt       time.Time // time of the worker's latest announcement or list
	announcement     run.Announcement
	announced        bool
	announcedAt      time.Time
	list             run.List
	listIndex        listIndex
	listed           bool
	neighboursAt     time.Time // when the images on the worker were observed last
	listedAt         time.Time
	pace             *pace
	clock            time.Duration
	clockIncarnation batch.Incarnation
	clockAt          time.Time
	leaseEnds        time.Time
	holdSentAt       time.Time
	acknowledged     int64
	listRequested    bool
	leaving          bool // the worker has announced its termination
	exited           bool // the worker has ended after that
	unreachable      bool // the agent cannot connect to the worker
	health           health
	crashes          []run.Crash // of earlier incarnations, as the agent reported them last
	toldSpeed        toldSpeed
	orderRoom        int // orders that the agent's session can take now
}

// reservedOrders is the part of an agent's queue that is kept for renewals of its lease.
const reservedOrders = 16

// takeOrderRoom reports whether the agent's session can take one more order, and counts it.
func (h *host) takeOrderRoom() bool {
	if h.orderRoom <= reservedOrders {
		return false
	}
	h.orderRoom--
	return true
}

// update takes in a report, and reports whether it contained a list of the current incarnation.
func (h *host) update(now time.Time, r run.Report) (listed bool) {
	if a, ok := r.Announcement(); ok && (!h.announced || a.After(h.announcement)) {
		h.reportedAt = now
		if a.Incarnation() != h.announcement.Incarnation() {
			h.resetIncarnation()
		}
		h.announcement, h.announced, h.announcedAt = a, true, now
		h.recordClock(now, a.Incarnation(), a.Clock())
	}
	if l, ok := r.List(); ok && l.Incarnation() == h.announcement.Incarnation() {
		h.reportedAt = now
		h.list, h.listed, h.listedAt, h.unreachable = l, true, now, false
		h.listIndex = newListIndex(l)
		h.recordClock(now, l.Incarnation(), l.Clock())
		listed = true
	}
	if r.Unreachable() {
		h.unreachable = true
	}
	if a, ok := r.Announcement(); ok && a.Incarnation() == h.announcement.Incarnation() {
		// Each report with an announcement says whether the worker leaves.
		h.leaving, h.exited = r.Terminating(), r.Exited()
	} else {
		h.leaving, h.exited = h.leaving || r.Terminating(), h.exited || r.Exited()
	}
	return listed
}

// resetIncarnation drops what is known of the earlier incarnation, except its lease, which may still be running.
func (h *host) resetIncarnation() {
	h.listed, h.list, h.listIndex, h.unreachable = false, run.List{}, listIndex{}, false
	h.acknowledged, h.listRequested = 0, false
	h.leaving, h.exited = false, false
	h.health = health{}
	h.pace = nil
}

// recordClock takes in a reading of the worker's clock, unless the clock is known to be beyond it: a report may be received
// long after it was made.
func (h *host) recordClock(now time.Time, incarnation batch.Incarnation, clock time.Duration) {
	if clock > 0 && (incarnation != h.clockIncarnation || clock > h.leastClock(now)) {
		h.clock, h.clockIncarnation, h.clockAt = clock, incarnation, now
	}
}

// leastClock returns what the worker's clock reads at least.
func (h *host) leastClock(now time.Time) time.Duration {
	return h.clock + time.Duration(float64(now.Sub(h.clockAt))*minClockRate)
}

// grant returns the end of a new lease on the worker's clock, and records the latest time at which that lease can
// end.
func (h *host) grant(now time.Time, length time.Duration) time.Duration {
	if ends := now.Add(time.Duration(float64(length)/minClockRate) + leaseMargin); ends.After(h.leaseEnds) {
		h.leaseEnds = ends
	}
	return h.leastClock(now) + length
}

// use returns why the worker gets no new runs from a leader with the given fencing token, or Usable.
func (h *host) use(now time.Time, fencingToken uint64) WorkerUse {
	switch {
	case !h.connected:
		return Disconnected
	case !h.announced:
		return Unannounced
	case h.unreachable:
		return Unreachable
	case h.announcement.Draining() || h.leaving:
		return Leaving
	case !h.responsive(now):
		return Silent
	case !h.hasCurrentList(fencingToken):
		return RunsUnknown
	case h.clockIncarnation != h.announcement.Incarnation():
		return ClockUnknown
	}
	return Usable
}

// usable reports whether the worker may get new runs from a leader with the given fencing token.
func (h *host) usable(now time.Time, fencingToken uint64) bool {
	return h.use(now, fencingToken) == Usable
}

// startsSlowly reports whether the worker has announced that it is still slow after its start.
func (h *host) startsSlowly(now time.Time) bool {
	return now.Before(h.announcedAt.Add(h.announcement.SlowFor()))
}

// responsive reports whether the worker has reported recently enough to be granted a lease.
func (h *host) responsive(now time.Time) bool { return now.Sub(h.reportedAt) < silenceTimeout }

// hasCurrentList reports whether the worker had received the fencing token when it made its latest list.
func (h *host) hasCurrentList(token uint64) bool { return h.listed && h.list.FencingToken() >= token }

// listIndex finds the entries of a worker's list by their runs. A worker may list thousands.
type listIndex struct {
	running  map[run.ID]run.Running
	finished map[run.ID]run.Finished // the first end of each run
	settled  map[run.ID]run.OrderID
}

func newListIndex(l run.List) listIndex {
	i := listIndex{
		running: make(map[run.ID]run.Running, len(l.Running())), finished: make(map[run.ID]run.Finished, len(l.Finished())),
		settled: make(map[run.ID]run.OrderID, len(l.Settled())),
	}
	for _, r := range l.Running() {
		i.running[r.ID()] = r
	}
	for _, f := range l.Finished() {
		id := run.NewID(f.End().Task(), f.End().Run())
		if _, known := i.finished[id]; !known {
			i.finished[id] = f
		}
	}
	for _, s := range l.Settled() {
		i.settled[s.ID()] = s.OrderID()
	}
	return i
}

func (h *host) listsRunning(id run.ID) bool {
	_, listed := h.listIndex.running[id]
	return listed
}

func (h *host) listedEnd(id run.ID) (f run.Finished, ok bool) {
	f, ok = h.listIndex.finished[id]
	return f, ok
}

// answeredOrder returns the order about a run that the worker had answered before its latest list.
func (h *host) answeredOrder(id run.ID) (order run.OrderID, answered bool) {
	order, answered = h.listIndex.settled[id]
	return order, answered
}

func (h *host) listsSettled(id run.ID) bool {
	_, settled := h.answeredOrder(id)
	return settled
}

func (h *host) listedCheckpoint(id run.ID) string { return h.listIndex.running[id].Checkpoint() }
