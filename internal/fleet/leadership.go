package fleet

// Leadership is the latest leader that a control host knows.
type Leadership struct {
	term   uint64
	leader string
}

// NewLeadership returns the leader of a term by its IP address and port.
func NewLeadership(term uint64, leader string) Leadership {
	return Leadership{term: term, leader: leader}
}

// Term returns the term, 0 while no leader is known.
func (l Leadership) Term() uint64 { return l.term }

// Leader returns the IP address and port of the leader.
func (l Leadership) Leader() string { return l.leader }
