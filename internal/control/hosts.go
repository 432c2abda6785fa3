package control

import (
	"net/http"
	"slices"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/pkg/client"
)

// hostState is the state of a control host as the leader sees it.
type hostState string

// States of a control host. A spare has no vote and could vote at once.
const (
	hostLeads   hostState = "leader"
	hostInTouch hostState = "in-touch"
	hostSilent  hostState = "silent"
	hostSpare   hostState = "spare"
	hostJoining hostState = "joining"
)

// controlHosts serves the leader's view of the control hosts to operators.
func (a *api) controlHosts(w http.ResponseWriter, _ *http.Request, p principal) {
	if requireOperator(w, p) {
		writeJSON(w, http.StatusOK, controlBodyOf(a.control.Status()))
	}
}

func controlBodyOf(s driver.Status) client.ControlBody {
	q := s.Quorum()
	b := client.ControlBody{
		Leader: string(s.Self()), Term: s.Term(), Voters: q.Voters(), Majority: q.Majority(), FaultsTolerated: q.Tolerated(),
		Members: []client.ControlMemberBody{},
	}
	for _, m := range s.Membership().Members() {
		b.Members = append(b.Members, client.ControlMemberBody{
			ID: string(m.ID()), Address: m.Address(), Voter: m.Voter(), State: string(hostStateOf(s, m)),
		})
	}
	return b
}

func hostStateOf(s driver.Status, m ledger.Member) hostState {
	switch {
	case m.ID() == s.Self():
		return hostLeads
	case slices.Contains(s.Quorum().Silent(), m.ID()):
		return hostSilent
	case m.Voter():
		return hostInTouch
	case slices.Contains(s.Quorum().Spares(), m.ID()):
		return hostSpare
	default:
		return hostJoining
	}
}
