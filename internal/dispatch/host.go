package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// host is what the leader knows of an agent's host and its worker.
type host struct {
	agent        string
	session      uint64
	connected    bool
	heard        time.Time // the latest announcement or list of the worker
	announcement run.Announcement
	announced    bool
	announcedAt  time.Time
	list         run.List
	listed       bool
	listedAt     time.Time
	pace         *pace
	clock        time.Duration
	clockLife    batch.Incarnation
	clockAt      time.Time
	leaseEnds    time.Time
	held         time.Time
	acknowledged int64
	asked        bool
	goneAt       time.Time
	health       health
}

// listen takes a report, and reports whether it brought a list.
func (h *host) listen(now time.Time, r run.Report) (listed bool) {
	if a, ok := r.Announcement(); ok && (!h.announced || a.After(h.announcement)) {
		h.heard = now
		if a.Incarnation() != h.announcement.Incarnation() {
			h.reborn()
		}
		h.announcement, h.announced, h.announcedAt = a, true, now
		h.observe(now, a.Incarnation(), a.Clock())
	}
	if l, ok := r.List(); ok && l.Incarnation() == h.announcement.Incarnation() {
		h.heard = now
		h.list, h.listed, h.listedAt = l, true, now
		h.observe(now, l.Incarnation(), l.Clock())
		listed = true
	}
	if r.Terminating() && h.goneAt.IsZero() {
		h.goneAt = now
	}
	return listed
}

// reborn forgets what is known of an earlier life; the lease that it was granted may still run.
func (h *host) reborn() {
	h.listed, h.list = false, run.List{}
	h.acknowledged, h.asked = 0, false
	h.goneAt = time.Time{}
	h.health = health{}
	h.pace = nil
}

func (h *host) observe(now time.Time, life batch.Incarnation, clock time.Duration) {
	if clock > 0 && (life != h.clockLife || clock > h.clock) {
		h.clock, h.clockLife, h.clockAt = clock, life, now
	}
}

// grant returns the end of a lease on the worker's clock, and notes until when it may run.
func (h *host) grant(now time.Time, length time.Duration) time.Duration {
	elapsed := time.Duration(float64(now.Sub(h.clockAt)) * slowestClock)
	if ends := now.Add(time.Duration(float64(length)/slowestClock) + lapseMargin); ends.After(h.leaseEnds) {
		h.leaseEnds = ends
	}
	return h.clock + elapsed + length
}

// usable reports whether the worker may get new runs from a leader with the given fencing token.
func (h *host) usable(now time.Time, fence uint64) bool {
	return h.connected && h.announced && !h.announcement.Draining() && h.goneAt.IsZero() &&
		h.current(fence) && h.clockLife == h.announcement.Incarnation() && h.alive(now)
}

// alive reports whether the worker was heard lately; one that was not gets no lease.
func (h *host) alive(now time.Time) bool { return now.Sub(h.heard) < silence }

// current reports whether the latest list was made after the fencing token had reached the worker.
func (h *host) current(fence uint64) bool { return h.listed && h.list.FencingToken() >= fence }

func (h *host) runs(id run.ID) bool {
	for _, r := range h.list.Running() {
		if r.ID() == id {
			return true
		}
	}
	return false
}

func (h *host) finished(id run.ID) (f run.Finished, ok bool) {
	for _, f := range h.list.Finished() {
		if f.End().Task() == id.Task() && f.End().Run() == id.Run() {
			return f, true
		}
	}
	return run.Finished{}, false
}

func (h *host) settled(id run.ID) bool {
	for _, s := range h.list.Settled() {
		if s == id {
			return true
		}
	}
	return false
}

func (h *host) checkpoint(id run.ID) string {
	for _, r := range h.list.Running() {
		if r.ID() == id {
			return r.Checkpoint()
		}
	}
	return ""
}
