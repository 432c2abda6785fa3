package registry

import (
	"rosemarywind.example/rosemarywind/internal/lease"
)

// Result is the answer of the state machine to a command.
//
//sumtype:decl
type Result interface {
	result()
}

// Accepted says that the command took effect, at a configuration revision and for a job if there is one.
type Accepted struct {
	revision uint64
	jobID    string
	fence    lease.FencingToken
}

// Conflict says that another change was first; it carries the revision in force.
type Conflict struct {
	revision uint64
}

// Denied says that the command does not fit the state.
type Denied struct {
	reason string
}

// Claimed says that the attempt is recorded and may be dispatched.
type Claimed struct {
	number uint64
}

// Known says that the key was claimed before, by the given record.
type Known struct {
	claim Claim
}

func (Accepted) result() {}
func (Conflict) result() {}
func (Denied) result()   {}
func (Claimed) result()  {}
func (Known) result()    {}

// NewAccepted returns the result of a command that took effect.
func NewAccepted(revision uint64, jobID string, fence lease.FencingToken) Accepted {
	return Accepted{revision: revision, jobID: jobID, fence: fence}
}

// NewConflict returns the result of a change that lost a race.
func NewConflict(revision uint64) Conflict { return Conflict{revision: revision} }

// NewDenied returns the result of a command that does not fit.
func NewDenied(reason string) Denied { return Denied{reason: reason} }

// NewClaimed returns the result of a claim that was granted.
func NewClaimed(number uint64) Claimed { return Claimed{number: number} }

// NewKnown returns the result of a claim whose key is taken.
func NewKnown(claim Claim) Known { return Known{claim: claim} }

// Revision returns the revision of the configuration in force.
func (a Accepted) Revision() uint64 { return a.revision }

// JobID returns the identity of the job, empty when the command named none.
func (a Accepted) JobID() string { return a.jobID }

// Fence returns the fencing number given to a reservation, 0 for other commands.
func (a Accepted) Fence() lease.FencingToken { return a.fence }

// Revision returns the revision of the configuration in force.
func (c Conflict) Revision() uint64 { return c.revision }

// Reason returns why the command does not fit.
func (d Denied) Reason() string { return d.reason }

// Number returns the number of the attempt.
func (c Claimed) Number() uint64 { return c.number }

// Claim returns the record.
func (k Known) Claim() Claim { return k.claim }
