package call

import "time"

// Outcome says what became of a call.
type Outcome string

// The outcomes of a call. After Unavailable the call had no effect; after Uncertain it may have had one.
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

// NewReply returns a reply; the reason is for people.
func NewReply(o Outcome, reason string) Reply { return Reply{outcome: o, reason: reason} }

// WithState returns the reply with the state of a job.
func (r Reply) WithState(state string) Reply {
	r.state = state
	return r
}

// WithPending returns the reply with the number of a queue's pending jobs.
func (r Reply) WithPending(n int) Reply {
	r.pending = n
	return r
}

// WithRetryAfter returns the reply with the time after which the call is worth repeating.
func (r Reply) WithRetryAfter(d time.Duration) Reply {
	r.retryAfter = d
	return r
}

// WithDocument returns the reply with a declaration.
func (r Reply) WithDocument(document []byte) Reply {
	r.document = document
	return r
}

// WithHosts returns the reply with the addresses of the leader and of all control hosts.
func (r Reply) WithHosts(leader string, hosts []string) Reply {
	r.leader, r.hosts = leader, hosts
	return r
}

// Outcome returns what became of the call.
func (r Reply) Outcome() Outcome { return r.outcome }

// Reason returns why, for people.
func (r Reply) Reason() string { return r.reason }

// State returns the state of a job.
func (r Reply) State() string { return r.state }

// Pending returns the number of a queue's pending jobs.
func (r Reply) Pending() int { return r.pending }

// RetryAfter returns the time after which the call is worth repeating, 0 if that is not known.
func (r Reply) RetryAfter() time.Duration { return r.retryAfter }

// Document returns a declaration as the operator sent it.
func (r Reply) Document() []byte { return r.document }

// Leader returns the address of the leader, or an empty string.
func (r Reply) Leader() string { return r.leader }

// Hosts returns the addresses of the control hosts.
func (r Reply) Hosts() []string { return r.hosts }
