package standin

import "time"

// Fault is a way in which the stand-in misbehaves.
type Fault string

// The faults.
const (
	NoFault  Fault = ""
	Fail     Fault = "fail"
	Freeze   Fault = "freeze"
	Late     Fault = "late"
	Truncate Fault = "truncate"
	Leave    Fault = "leave"
)

// Behaviour is the fault in force and its delay; it is immutable.
type Behaviour struct {
	fault Fault
	delay time.Duration
}

// NewBehaviour returns a behaviour; delay counts for Late.
func NewBehaviour(fault Fault, delay time.Duration) Behaviour {
	return Behaviour{fault: fault, delay: delay}
}

// Fault returns the fault in force.
func (b Behaviour) Fault() Fault { return b.fault }

// Delay returns how late answers are.
func (b Behaviour) Delay() time.Duration { return b.delay }
