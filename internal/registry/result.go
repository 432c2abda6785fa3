package registry

import (
	"rosemarywind.example/rosemarywind/internal/lease"
)

// Result tells the proposer of a command whether it took effect.
//
//sumtype:decl
type Result interface {
	result()
}

// Accepted means that the command took effect; it holds the configuration revision, and the job if the command has one.
type Accepted struct {
	revision     uint64
	jobID        string
	fencingToken lease.FencingToken
}

// Conflict means that a configuration change was based on an earlier revision than the current one, which it holds.
type Conflict struct {
	revision uint64
}

// Denied means that the state does not allow the command, for instance because a fencing token is out of date.
type Denied struct {
	reason string
}

// Claimed means that the attempt is recorded and its request may be sent to an endpoint.
type Claimed struct {
	attemptNumber uint64
}

// AlreadyClaimed means that the key is claimed by another attempt, whose record it holds.
type AlreadyClaimed struct {
	claim Claim
}

func (Accepted) result()       {}
func (Conflict) result()       {}
func (Denied) result()         {}
func (Claimed) result()        {}
func (AlreadyClaimed) result() {}

// NewAccepted returns the result of a command that took effect; jobID is empty and fencingToken 0 where none applies.
func NewAccepted(revision uint64, jobID string, fencingToken lease.FencingToken) Accepted {
	return Accepted{revision: revision, jobID: jobID, fencingToken: fencingToken}
}

// NewConflict returns the result of a configuration change that is not based on the given, current revision.
func NewConflict(revision uint64) Conflict { return Conflict{revision: revision} }

// NewDenied returns the result of a command that the state does not allow for the given reason.
func NewDenied(reason string) Denied { return Denied{reason: reason} }

// NewClaimed returns the result of a claim that was granted under the given attempt number.
func NewClaimed(attemptNumber uint64) Claimed { return Claimed{attemptNumber: attemptNumber} }

// NewAlreadyClaimed returns the result of a claim whose key another attempt holds.
func NewAlreadyClaimed(claim Claim) AlreadyClaimed { return AlreadyClaimed{claim: claim} }

// Revision returns the current revision of the configuration, after the command.
func (a Accepted) Revision() uint64 { return a.revision }

// JobID returns the ID of the job, empty if the command concerns none.
func (a Accepted) JobID() string { return a.jobID }

// FencingToken returns the fencing token of the job's reservation, 0 for commands that do not concern one.
func (a Accepted) FencingToken() lease.FencingToken { return a.fencingToken }

// Revision returns the current revision, on which another try must be based.
func (c Conflict) Revision() uint64 { return c.revision }

// Reason returns why the state does not allow the command, as free text for the proposer.
func (d Denied) Reason() string { return d.reason }

// AttemptNumber returns the number of the attempt, which its SettleKey repeats.
func (c Claimed) AttemptNumber() uint64 { return c.attemptNumber }

// Claim returns the record of the attempt that holds the key, without a fingerprint if an archived record has another
// one.
func (k AlreadyClaimed) Claim() Claim { return k.claim }
