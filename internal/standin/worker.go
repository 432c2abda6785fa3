package standin

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

const (
	// endedKept bounds the ended tasks that the worker still reports.
	endedKept      = 256
	defaultRunTime = 100 * time.Millisecond
	farFuture      = time.Hour
)

// view is what the worker publishes; it is immutable.
type view struct {
	version uint64
	tasks   []record
}

// record is one task.
type record struct {
	id           task.ID
	fence        lease.Fence
	accelerators int
	payload      string
	state        task.State
	lease        lease.Held
	endsAt       time.Time
	percent      int
}

// worker runs tasks under leases; its own goroutine is the only writer.
type worker struct {
	accelerators int
	calls        chan call
	published    *board.Section[view]
	records      map[string]record
	ended        []string
}

// call is one order for the worker's goroutine.
type call struct {
	verb  string
	form  taskForm
	reply chan string
}

func newWorker(accelerators int) *worker {
	return &worker{
		accelerators: accelerators, calls: make(chan call), published: board.NewSection(view{version: 1}),
		records: map[string]record{},
	}
}

// run serves orders, ends leases and finishes tasks until ctx ends.
func (w *worker) run(ctx context.Context) error {
	timer := time.NewTimer(farFuture)
	defer timer.Stop()
	for {
		timer.Reset(w.next(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case c := <-w.calls:
			now := time.Now()
			w.advance(now)
			c.reply <- w.order(c.verb, c.form, now)
			w.publish()
		case <-timer.C:
			if w.advance(time.Now()) {
				w.publish()
			}
		}
	}
}

// order carries out one order and returns why it was refused, or an empty string.
func (w *worker) order(verb string, f taskForm, now time.Time) (refusal string) {
	id, fence := task.NewID(f.Job, f.Index), lease.Fence(f.Fence)
	r, known := w.records[id.String()]
	if known && r.fence.Voids(fence) {
		return "the fence is void"
	}
	if verb == "reserve" {
		return w.reserve(id, fence, f, now)
	}
	if !known || r.fence != fence {
		if verb == "stop" || verb == "checkpoint" {
			w.records[id.String()] = record{id: id, fence: fence, state: task.Stopped}
			w.end(id.String())
			return ""
		}
		return "the task is not reserved"
	}
	if r.state.Final() {
		if verb == "stop" || verb == "checkpoint" || (verb == "start" && r.state == task.Succeeded) {
			return ""
		}
		return "the task has ended: " + string(r.state)
	}
	switch verb {
	case "start":
		if r.state == task.Reserved {
			r.state, r.endsAt = task.Running, now.Add(runTime(r.payload))
		}
	case "renew":
		r.lease = lease.NewHeld(now, time.Duration(f.LeaseMS)*time.Millisecond)
	case "stop", "checkpoint":
		r.state = task.Stopped
		w.end(id.String())
	case "throttle":
		r.percent = f.Percent
	default:
		return "unknown order " + verb
	}
	w.records[id.String()] = r
	return ""
}

func (w *worker) reserve(id task.ID, fence lease.Fence, f taskForm, now time.Time) (refusal string) {
	r, known := w.records[id.String()]
	if known && r.fence == fence {
		if r.state.Final() {
			return "the task has ended: " + string(r.state)
		}
		return ""
	}
	if known && !r.state.Final() {
		return "an older reservation is in force"
	}
	if w.held()+f.Accelerators > w.accelerators {
		return "not enough free accelerators"
	}
	w.records[id.String()] = record{
		id: id, fence: fence, accelerators: f.Accelerators, payload: f.Payload, state: task.Reserved,
		lease: lease.NewHeld(now, time.Duration(f.LeaseMS)*time.Millisecond),
	}
	return ""
}

// advance ends leases and tasks that are due, and reports whether one did.
func (w *worker) advance(now time.Time) (changed bool) {
	for k, r := range w.records {
		switch {
		case r.state.Final():
			continue
		case !r.lease.Valid(now):
			r.state = task.Expired
		case r.state == task.Running && !now.Before(r.endsAt):
			r.state = task.Succeeded
			if strings.HasPrefix(r.payload, "fail") {
				r.state = task.Failed
			}
		default:
			continue
		}
		w.records[k] = r
		w.end(k)
		changed = true
	}
	return changed
}

// next returns how long until a lease or a task is due.
func (w *worker) next(now time.Time) time.Duration {
	soonest := now.Add(farFuture)
	for _, r := range w.records {
		if r.state.Final() {
			continue
		}
		if r.lease.Ends().Before(soonest) {
			soonest = r.lease.Ends()
		}
		if r.state == task.Running && r.endsAt.Before(soonest) {
			soonest = r.endsAt
		}
	}
	return max(0, soonest.Sub(now))
}

// end forgets the oldest ended tasks.
func (w *worker) end(key string) {
	w.ended = append(w.ended, key)
	if len(w.ended) > endedKept {
		if r, ok := w.records[w.ended[0]]; ok && r.state.Final() {
			delete(w.records, w.ended[0])
		}
		w.ended = w.ended[1:]
	}
}

func (w *worker) publish() {
	v := view{version: w.published.Load().version + 1}
	for _, r := range w.records {
		v.tasks = append(v.tasks, r)
	}
	slices.SortFunc(v.tasks, func(a, b record) int { return strings.Compare(a.id.String(), b.id.String()) })
	w.published.Publish(v)
}

func (w *worker) held() (n int) {
	for _, r := range w.records {
		if !r.state.Final() {
			n += r.accelerators
		}
	}
	return n
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
