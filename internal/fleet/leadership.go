package fleet

// Leadership is the leader with the largest term that a control host knows.
type Leadership struct {
	term   uint64
	leader string
}

// NewLeadership returns the leader of a term by its IP address and port.
func NewLeadership(term uint64, leader string) Leadership {
	return Leadership{term: term, leader: leader}
}

// Term returns the term of the leader, 0 if no leader is known.
func (l Leadership) Term() uint64 { return l.term }

// Leader returns the IP address and port of the leader, empty if no leader is known.
func (l Leadership) Leader() string { return l.leader }
