package scheduler

import (
	gometrics "github.com/rcrowley/go-metrics"

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
	commit    gometrics.Histogram
	decision  gometrics.Histogram
	answering gometrics.Histogram
}

func newMetrics(r *telemetry.Registry) metrics {
	return metrics{
		calls: r.Counter("scheduler.calls"), refused: r.Counter("scheduler.refused"),
		starts: r.Counter("scheduler.starts"), ends: r.Counter("scheduler.ends"),
		stops: r.Counter("scheduler.stops"), lost: r.Counter("scheduler.lost"),
		crashes: r.Counter("scheduler.crashes"), givenUp: r.Counter("scheduler.given_up"),
		commit: r.Histogram("scheduler.commit"), decision: r.Histogram("scheduler.decision"),
		answering: r.Histogram("scheduler.answering"),
	}
}
