package leader

import (
	"errors"

	"rosemarywind.example/rosemarywind/internal/wire"
)

// Search chooses the control host to try next; it is for one thread.
type Search struct {
	hosts []string
	next  int
	named string
}

// NewSearch returns a search among the QUIC addresses of the control hosts, of which there is at least one.
func NewSearch(hosts []string) *Search { return &Search{hosts: hosts} }

// Next returns the leader that a follower named, else the next control host in turn.
func (s *Search) Next() (address string) {
	if s.named != "" {
		address, s.named = s.named, ""
		return address
	}
	address = s.hosts[s.next%len(s.hosts)]
	s.next++
	return address
}

// FollowRedirect takes up the error of an exchange with address, and reports whether it names another host as the leader.
func (s *Search) FollowRedirect(address string, err error) bool {
	var status *wire.StatusError
	if !errors.As(err, &status) || status.Leader() == "" || status.Leader() == address {
		return false
	}
	s.named = status.Leader()
	return true
}
