package intake

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// logInterval is the least time between two log lines about refusals.
const logInterval = 5 * time.Second

// Limiter applies the limits of one process to the connections of its HTTP servers.
type Limiter struct {
	limits   Limits
	budget   *Budget
	copies   *semaphore.Weighted // bytes that large bodies take while they are passed on
	open     atomic.Int64
	refused  map[Reason]gometrics.Counter
	logger   hclog.Logger
	now      func() time.Time
	begunAt  time.Time
	logAfter atomic.Int64 // nanoseconds since begunAt, since the time of day may jump
	unlogged atomic.Int64 // refusals since the last log line
}

// NewLimiter returns a limiter that registers its metrics in r and reads the time from now.
func NewLimiter(limits Limits, r *telemetry.Registry, logger hclog.Logger, now func() time.Time) *Limiter {
	l := &Limiter{
		limits: limits, budget: NewBudget(limits.budgetBytes), copies: semaphore.NewWeighted(max(limits.budgetBytes, 1)),
		refused: map[Reason]gometrics.Counter{}, logger: logger, now: now, begunAt: now(),
	}
	for _, reason := range Reasons() {
		l.refused[reason] = r.Counter("intake.refused." + string(reason))
	}
	r.GaugeFunc("intake.held_bytes", l.budget.Held)
	r.GaugeFunc("intake.connections", l.open.Load)
	return l
}

// Listen returns a listener that wraps the connections of l. At most the given share of the process's connections are
// open at once; Accept closes an idle one in favor of a new one, or refuses the new one.
func (l *Limiter) Listen(inner net.Listener, share float64) *Listener {
	limit := max(int(share*float64(l.limits.connections)), min(minimumConnections, l.limits.connections))
	return &Listener{Listener: inner, limiter: l, table: newTable(limit)}
}

// Prepare sets up a server for the connections of a Listener. The server's own hooks get the connections of the inner
// listener.
func (l *Limiter) Prepare(s *http.Server) {
	observe, handler, connContext := s.ConnState, s.Handler, s.ConnContext
	// The connection refuses a larger head before the server does.
	s.MaxHeaderBytes = int(l.limits.headBytes)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, innerOf(c))
		}
		return context.WithValue(ctx, connectionKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*Connection); ok {
			own.observe(state)
		}
		if observe != nil {
			observe(innerOf(c), state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connectionOf(r.Context()); c != nil && !l.begin(c, w, r) {
			return
		}
		if r.ContentLength != 0 {
			// The server reads what the handler leaves of the body.
			_ = http.NewResponseController(w).SetReadDeadline(l.now().Add(l.limits.pace.interval))
		}
		handler.ServeHTTP(w, r)
	})
}

// begin lets a handler begin with a request; it refuses a request that net/http has read together with an earlier one and
// for which there is no room, and ends a connection that is closing.
func (l *Limiter) begin(c *Connection, w http.ResponseWriter, r *http.Request) bool {
	if !c.headEnded(r.ContentLength) {
		panic(http.ErrAbortHandler)
	}
	if c.pending == nil {
		return true
	}
	l.recordRefusal(l.now(), c.RemoteAddr(), c.pending.Reason())
	skipBody(w)
	c.pending.Write(w)
	return false
}

// skipBody ends the connection with the answer. net/http reads the rest of a body before that, until its read deadline,
// which has passed then.
func skipBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// IgnoreBodies returns a handler that calls h and ends the connection of a request with a body, in place of reading the
// body, unless h reads the bodies of requests with the method.
func IgnoreBodies(h http.Handler, read ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 && !slices.Contains(read, r.Method) {
			skipBody(w)
		}
		h.ServeHTTP(w, r)
	})
}

// HeldBytes returns the number of bytes that are held for all clients.
func (l *Limiter) HeldBytes() int64 { return l.budget.Held() }

// recordRefusal counts a refusal and logs the refusals at most once in each logInterval.
func (l *Limiter) recordRefusal(now time.Time, peer net.Addr, r Reason) {
	l.refused[r].Inc(1)
	count, after, age := l.unlogged.Add(1), l.logAfter.Load(), now.Sub(l.begunAt)
	if int64(age) < after || !l.logAfter.CompareAndSwap(after, int64(age+logInterval)) {
		return
	}
	l.unlogged.Add(-count)
	l.logger.Warn("clients refused", "count", count, "last_reason", string(r), "last_peer", peer.String(),
		"held_bytes", l.budget.Held(), "connections", l.open.Load())
}
