package standin

import "time"

// Fault is a kind of failure that the stand-in simulates.
type Fault string

// Fail answers requests to the endpoint with status 500, Late delays their answers and Truncate closes the connection
// halfway through the answer. Freeze holds all requests but those under /standin until another fault is set. Leave
// makes the health check report that the endpoint is unavailable.
const (
	NoFault  Fault = ""
	Fail     Fault = "fail"
	Freeze   Fault = "freeze"
	Late     Fault = "late"
	Truncate Fault = "truncate"
	Leave    Fault = "leave"
)

// Behaviour is the injected fault with its delay; it is immutable.
type Behaviour struct {
	fault Fault
	delay time.Duration
}

// NewBehaviour returns a behaviour; delay applies to Late only.
func NewBehaviour(fault Fault, delay time.Duration) Behaviour {
	return Behaviour{fault: fault, delay: delay}
}

// Fault returns the injected fault, NoFault if requests are served normally.
func (b Behaviour) Fault() Fault { return b.fault }

// Delay returns the time that Late adds to each answer.
func (b Behaviour) Delay() time.Duration { return b.delay }
