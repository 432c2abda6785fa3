package wire

import "io"

type leadershipForm struct {
	Term   uint64 `cbor:"1,keyasint"`
	Leader string `cbor:"2,keyasint"`
}

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

// WriteLeadership writes one notice of a stream of KindLeadership.
func WriteLeadership(w io.Writer, l Leadership) error {
	return writeFrame(w, leadershipForm{Term: l.term, Leader: l.leader})
}

// ReadLeadership reads one notice.
func ReadLeadership(r io.Reader) (l Leadership, err error) {
	defer annotate("read leadership", &err)
	var f leadershipForm
	if err = readFrame(r, &f, maxOpeningBytes); err != nil {
		return Leadership{}, err
	}
	return NewLeadership(f.Term, f.Leader), nil
}
