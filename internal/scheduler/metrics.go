package scheduler

import (
	"strings"

	gometrics "github.com/rcrowley/go-metrics"

	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/speed"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// metrics holds the counters and histograms of a control host; durations are in microseconds.
type metrics struct {
	calls     gometrics.Counter
	refused   gometrics.Counter
	starts    gometrics.Counter
	ends      gometrics.Counter
	stops     gometrics.Counter
	lost      gometrics.Counter
	crashes   gometrics.Counter
	givenUp   gometrics.Counter
	zoneStops gometrics.Counter // orders to stop a run because its zone is evacuated
	commit    gometrics.Histogram
	decision  gometrics.Histogram
	answering gometrics.Histogram
	waiting   gometrics.Gauge // tasks that are ready and wait for workers
	longWaits gometrics.Gauge // steps with tasks that have waited for some seconds
	evacuated gometrics.Gauge // runs that workers in evacuated zones list
	workers   map[dispatch.WorkerUse]gometrics.Gauge
	speeds    map[speed.Class]gometrics.Gauge // observed workers
	moves     gometrics.Counter
	pairs     gometrics.Gauge                          // pairs of images of which one slows the other down
	keptApart gometrics.Counter                        // placements that chose another worker because of that
	lostWork  map[dispatch.LossCause]gometrics.Counter // core-seconds
}

func newMetrics(r *telemetry.Registry) metrics {
	m := metrics{
		calls: r.Counter("scheduler.calls"), refused: r.Counter("scheduler.refused"),
		starts: r.Counter("scheduler.starts"), ends: r.Counter("scheduler.ends"),
		stops: r.Counter("scheduler.stops"), lost: r.Counter("scheduler.lost"),
		crashes: r.Counter("scheduler.crashes"), givenUp: r.Counter("scheduler.given_up"),
		zoneStops: r.Counter("scheduler.evacuation_stops"), evacuated: r.Gauge("scheduler.evacuated_runs"),
		commit: r.Histogram("scheduler.commit"), decision: r.Histogram("scheduler.decision"),
		answering: r.Histogram("scheduler.answering"),
		waiting:   r.Gauge("scheduler.waiting_tasks"), longWaits: r.Gauge("scheduler.long_waits"),
		workers: map[dispatch.WorkerUse]gometrics.Gauge{}, speeds: map[speed.Class]gometrics.Gauge{},
		pairs: r.Gauge("scheduler.image_pairs"), keptApart: r.Counter("scheduler.kept_apart"),
		moves: r.Counter("scheduler.moves"), lostWork: map[dispatch.LossCause]gometrics.Counter{},
	}
	for _, c := range dispatch.LossCauses() {
		m.lostWork[c] = r.Counter("scheduler.lost_work." + string(c))
	}
	for _, u := range dispatch.WorkerUses() {
		m.workers[u] = r.Gauge("scheduler.workers." + strings.ReplaceAll(string(u), " ", "_"))
	}
	for _, c := range speed.Classes() {
		m.speeds[c] = r.Gauge("scheduler.speeds." + string(c))
	}
	return m
}

// updateSpeeds sets the gauges of workers by class of speed, if the step has counted them, and counts its moves and what it
// knows of pairs of images.
func (m metrics) updateSpeeds(a dispatch.Actions) {
	m.moves.Inc(int64(a.Moves()))
	m.pairs.Update(int64(a.Pairs()))
	m.keptApart.Inc(int64(a.KeptApart()))
	for c, count := range a.Speeds() {
		m.speeds[c].Update(int64(count))
	}
}

// updateWaiting sets the gauges of waiting tasks and of workers by use.
func (m metrics) updateWaiting(w dispatch.Waiting) {
	m.waiting.Update(int64(w.Tasks()))
	m.longWaits.Update(int64(w.LongSteps()))
	for u, g := range m.workers {
		g.Update(int64(w.Workers()[u]))
	}
}
