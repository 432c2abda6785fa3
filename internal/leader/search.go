package leader

import (
	"errors"

	"rosemarywind.example/rosemarywind/internal/wire"
)

// Search chooses the control host to connect to next; it is not safe for concurrent use.
type Search struct {
	hosts    []string
	next     int
	redirect string
}

// NewSearch returns a search among the QUIC addresses of the control hosts, of which there must be at least one.
func NewSearch(hosts []string) *Search { return &Search{hosts: hosts} }

// Next returns the leader that a follower named, else the next control host in rotation.
func (s *Search) Next() (address string) {
	if s.redirect != "" {
		address, s.redirect = s.redirect, ""
		return address
	}
	address = s.hosts[s.next%len(s.hosts)]
	s.next++
	return address
}

// FollowRedirect reports whether the error of an exchange with address names another host as the leader, which Next
// then returns.
func (s *Search) FollowRedirect(address string, err error) bool {
	var status *wire.StatusError
	if !errors.As(err, &status) || status.Leader() == "" || status.Leader() == address {
		return false
	}
	s.redirect = status.Leader()
	return true
}
