package run

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Speed is what a leader has learned of the speed of a worker. The agent beside the worker holds it and passes it to the
// next leader. It is immutable.
type Speed struct {
	worker    batch.Incarnation
	logarithm float64
	agreement float64
	weight    float64
	age       time.Duration
}

// NewSpeed returns the mean natural logarithm of a worker's speed, 0 for a normal worker, the mean product of the logarithms
// that two different steps show, the number of runs that the means count as, and the time since the latest of them.
func NewSpeed(worker batch.Incarnation, logarithm, agreement, weight float64, age time.Duration) Speed {
	return Speed{worker: worker, logarithm: logarithm, agreement: agreement, weight: weight, age: age}
}

// Worker returns the incarnation that was observed.
func (s Speed) Worker() batch.Incarnation { return s.worker }

// Logarithm returns the mean natural logarithm of the speed, 0 for a normal worker.
func (s Speed) Logarithm() float64 { return s.logarithm }

// Agreement returns the mean product of the logarithms that two different steps show.
func (s Speed) Agreement() float64 { return s.agreement }

// Weight returns the number of runs that the means count as.
func (s Speed) Weight() float64 { return s.weight }

// Age returns the time from the latest observation until the message was sent.
func (s Speed) Age() time.Duration { return s.age }

// Older returns a copy for a message that is sent later by the given time.
func (s Speed) Older(d time.Duration) Speed {
	s.age += d
	return s
}

// WithSpeed returns a copy that tells the agent what is known of the worker's speed.
func (o RenewLease) WithSpeed(s Speed) RenewLease {
	o.speed, o.hasSpeed = s, true
	return o
}

// Speed returns what is known of the worker's speed; ok is false if that is as in an earlier order.
func (o RenewLease) Speed() (s Speed, ok bool) { return o.speed, o.hasSpeed }

// WithSpeed returns a copy with what the agent was last told of its worker's speed.
func (r Report) WithSpeed(s Speed) Report {
	r.speed = &s
	return r
}

// Speed returns what the agent was last told of its worker's speed; ok is false if the report has none.
func (r Report) Speed() (s Speed, ok bool) {
	if r.speed == nil {
		return s, false
	}
	return *r.speed, true
}
