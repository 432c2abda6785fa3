package call

import "time"

// Outcome is the result of a call as reported to the caller.
type Outcome string

// The outcomes of a call. Unavailable means that the call had no effect; Uncertain means that it may have had one.
const (
	OK           Outcome = "ok"
	Invalid      Outcome = "invalid"
	Unauthorized Outcome = "unauthorized"
	NoQueue      Outcome = "no-queue"
	NoJob        Outcome = "no-job"
	Refused      Outcome = "refused"
	Unavailable  Outcome = "unavailable"
	Uncertain    Outcome = "uncertain"
	NotLeader    Outcome = "not-leader"
)

// Valid reports whether o is one of the outcomes.
func (o Outcome) Valid() bool {
	switch o {
	case OK, Invalid, Unauthorized, NoQueue, NoJob, Refused, Unavailable, Uncertain, NotLeader:
		return true
	}
	return false
}

// Reply is the answer to a call; it is immutable.
type Reply struct {
	outcome    Outcome
	reason     string
	state      string
	pending    int
	retryAfter time.Duration
	document   []byte
	leader     string
	hosts      []string
}

// NewReply returns a reply; the reason is text for a human reader, and may be empty.
func NewReply(o Outcome, reason string) Reply { return Reply{outcome: o, reason: reason} }

// WithState returns a copy with the state of a job or wave.
func (r Reply) WithState(state string) Reply {
	r.state = state
	return r
}

// WithPending returns a copy with the number of pending jobs of a queue.
func (r Reply) WithPending(n int) Reply {
	r.pending = n
	return r
}

// WithRetryAfter returns a copy with the time after which the caller may retry the call.
func (r Reply) WithRetryAfter(d time.Duration) Reply {
	r.retryAfter = d
	return r
}

// WithDocument returns a copy with the declaration in force.
func (r Reply) WithDocument(document []byte) Reply {
	r.document = document
	return r
}

// WithHosts returns a copy with the addresses of the leader and of all control hosts.
func (r Reply) WithHosts(leader string, hosts []string) Reply {
	r.leader, r.hosts = leader, hosts
	return r
}

// Outcome returns the result of the call.
func (r Reply) Outcome() Outcome { return r.outcome }

// Reason returns an explanation for a human reader, or an empty string.
func (r Reply) Reason() string { return r.reason }

// State returns the state of a job or wave, empty if the call did not ask for one.
func (r Reply) State() string { return r.state }

// Pending returns the number of a queue's jobs that have not started, 0 if the call did not ask for it.
func (r Reply) Pending() int { return r.pending }

// RetryAfter returns the time after which the caller may retry the call, 0 if it is not known.
func (r Reply) RetryAfter() time.Duration { return r.retryAfter }

// Document returns the declaration in force as the operator sent it, nil if the call did not ask for it.
func (r Reply) Document() []byte { return r.document }

// Leader returns the address of the leader, or an empty string if it is not known.
func (r Reply) Leader() string { return r.leader }

// Hosts returns the addresses of all control hosts as known to the host that replied.
func (r Reply) Hosts() []string { return r.hosts }
