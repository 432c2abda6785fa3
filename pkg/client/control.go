package client

import "encoding/json"

// Control is the leader's view of the control hosts.
type Control struct{ body ControlBody }

// Leader returns the id of the leader.
func (c Control) Leader() string { return c.body.Leader }

// Term returns the term that the leader leads, which grows with each election.
func (c Control) Term() uint64 { return c.body.Term }

// Voters returns the number of control hosts with a vote, whether or not they can be reached.
func (c Control) Voters() int { return c.body.Voters }

// Majority returns the number of voters that must agree to a change or to a leader.
func (c Control) Majority() int { return c.body.Majority }

// FaultsTolerated returns how many more voters may be lost now with a majority left.
func (c Control) FaultsTolerated() int { return c.body.FaultsTolerated }

// Members returns the control hosts, voters and others.
func (c Control) Members() []ControlMember {
	members := make([]ControlMember, 0, len(c.body.Members))
	for _, b := range c.body.Members {
		members = append(members, ControlMember{body: b})
	}
	return members
}

// MarshalJSON encodes the fields that the control host sent.
func (c Control) MarshalJSON() ([]byte, error) { return json.Marshal(c.body) }

// ControlMember is one control host as the leader sees it.
type ControlMember struct{ body ControlMemberBody }

// ID returns the id of the host together with its disk; a host whose disk was lost gets another one.
func (m ControlMember) ID() string { return m.body.ID }

// Address returns the address at which the other control hosts reach it.
func (m ControlMember) Address() string { return m.body.Address }

// Voter reports whether it counts in a majority.
func (m ControlMember) Voter() bool { return m.body.Voter }

// State returns leader, in-touch (a voter that answers), silent (a voter that does not), spare (could vote at once) or
// joining (no vote yet).
func (m ControlMember) State() string { return m.body.State }
