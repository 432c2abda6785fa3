package observer

import (
	"context"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

const (
	// observeInterval is how often the status is looked at when it does not change. Log lines that their bound held back
	// are written then.
	observeInterval = time.Second
	// electionLogInterval bounds the log of elections that fail: an attempt takes from 150 ms on.
	electionLogInterval = time.Second
	// quorumLogInterval bounds the log of voters that come and go.
	quorumLogInterval = time.Second
	// joinLogInterval bounds the log of a host without a vote.
	joinLogInterval = 5 * time.Second
)

// Observer logs and measures the status of one ledger node. One goroutine calls its methods.
type Observer struct {
	logger  hclog.Logger
	metrics metrics

	members string // as logged last
	leader  string // as logged last

	quorum         ledger.Quorum // as logged last; zero while this host does not lead
	quorumLoggedAt time.Time

	elections        ledger.Elections // as counted last
	loggedAttempt    uint64           // number of the attempt that was logged last
	loggedEnds       uint64           // attempts that had ended by then
	attemptsLoggedAt time.Time

	withoutVoteSince time.Time // zero while the host has a vote or has not begun
	joiningLoggedAt  time.Time
}

// New returns an observer that logs to l and measures in r.
func New(l hclog.Logger, r *telemetry.Registry) *Observer {
	return &Observer{logger: l, metrics: newMetrics(r)}
}

// Run observes the status in a section until ctx ends, and then returns nil.
func (o *Observer) Run(ctx context.Context, status *board.Section[driver.Status], clock func() time.Time) error {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		s, changed := status.Watch()
		o.Observe(clock(), s)
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Observe logs and measures a status of the node at now.
func (o *Observer) Observe(now time.Time, s driver.Status) {
	o.observeMembership(s)
	o.observeQuorum(now, s)
	o.observeElections(now, s)
	o.observeJoining(now, s)
}

// observeMembership logs each change of the members, of their addresses and votes, or of the leader.
func (o *Observer) observeMembership(s driver.Status) {
	members, leader := formatMembers(s.Membership()), s.LeaderAddress()
	if members == o.members && leader == o.leader {
		return
	}
	o.members, o.leader = members, leader
	voters := s.Membership().Voters()
	o.logger.Info("membership", "self", string(s.Self()), "term", s.Term(), "leader", leader, "members", members,
		"voters", voters, "non_voters", len(s.Membership().Members())-voters)
}

// observeQuorum logs on the leader each change of the voters that it reaches, at most once in quorumLogInterval. It is a
// warning if a voter is silent or if the loss of one more host leaves no majority.
func (o *Observer) observeQuorum(now time.Time, s driver.Status) {
	q := s.Quorum()
	o.metrics.setQuorum(s)
	if q.Voters() == 0 {
		o.quorum = ledger.Quorum{}
		return
	}
	if q.Equal(o.quorum) || now.Sub(o.quorumLoggedAt) < quorumLogInterval {
		return
	}
	o.quorum, o.quorumLoggedAt = q, now
	log := o.logger.Info
	if len(q.Silent()) > 0 || q.Tolerated() == 0 && len(s.Membership().Members()) > 1 {
		log = o.logger.Warn
	}
	log("quorum", "self", string(s.Self()), "term", s.Term(), "voters", q.Voters(), "majority", q.Majority(),
		"silent", formatIDs(q.Silent(), s.Membership()), "spares", formatIDs(q.Spares(), s.Membership()),
		"faults_tolerated", q.Tolerated())
}

// observeElections counts attempts and answers, and logs the attempt that ended last. A won one is logged at once,
// others at most once in electionLogInterval.
func (o *Observer) observeElections(now time.Time, s driver.Status) {
	e := s.Elections()
	o.metrics.countElections(o.elections, e)
	o.elections = e
	a, ok := e.Ended()
	if !ok || a.Number() == o.loggedAttempt {
		return
	}
	won := a.Outcome() == ledger.AttemptWon
	if !won && now.Sub(o.attemptsLoggedAt) < electionLogInterval {
		return
	}
	ends := e.Won() + e.Failed()
	omitted := ends - o.loggedEnds - 1
	o.loggedAttempt, o.loggedEnds, o.attemptsLoggedAt = a.Number(), ends, now
	log := o.logger.Info
	if a.Outcome() == ledger.AttemptTimedOut {
		log = o.logger.Warn
	}
	index, term := a.Last()
	asked, granted, refused, unanswered := formatBallots(a, s.Self(), s.Membership())
	log("election", "self", string(s.Self()), "outcome", string(a.Outcome()), "phase", string(a.Phase()), "term", a.Term(),
		"log_index", index, "log_term", term, "majority", a.Majority(), "asked", asked, "granted", granted,
		"refused", refused, "unanswered", unanswered, "took_ms", a.Took().Milliseconds(), "omitted", omitted)
}

// observeJoining logs that this host has no vote, at most once in joinLogInterval.
func (o *Observer) observeJoining(now time.Time, s driver.Status) {
	state := joinStateOf(s)
	if state == "" {
		o.withoutVoteSince = time.Time{}
		o.metrics.setJoining(0, 0)
		return
	}
	if o.withoutVoteSince.IsZero() {
		o.withoutVoteSince = now
	}
	waited := now.Sub(o.withoutVoteSince)
	o.metrics.setJoining(waited, len(s.Probing().Unanswered()))
	if now.Sub(o.joiningLoggedAt) < joinLogInterval {
		return
	}
	o.joiningLoggedAt = now
	if state == undecided {
		o.logger.Info("joining", "state", string(state), "answered", strings.Join(s.Probing().Answered(), " "),
			"unanswered", strings.Join(s.Probing().Unanswered(), " "), "waited_ms", waited.Milliseconds())
		return
	}
	o.logger.Info("joining", "state", string(state), "self", string(s.Self()), "leader", s.LeaderAddress(),
		"members", formatMembers(s.Membership()), "commit", s.Commit(), "waited_ms", waited.Milliseconds())
}

// joinState is why a host has no vote.
type joinState string

// The reasons why a host has no vote.
const (
	undecided joinState = "undecided"    // its disk was empty, and it probes the others to learn how to start
	nonMember joinState = "not-a-member" // the membership that it knows does not contain it
	nonVoter  joinState = "non-voter"    // the leader sends it entries, and it does not count towards a majority
)

// joinStateOf returns why the host has no vote; it is empty if the host has one or has not begun.
func joinStateOf(s driver.Status) joinState {
	self, known := s.Membership().Find(s.Self())
	switch {
	case s.Self() == "" && s.Probing().Undecided():
		return undecided
	case s.Self() == "" || self.Voter():
		return ""
	case known:
		return nonVoter
	default:
		return nonMember
	}
}

// formatMembers returns the members, with an asterisk after each voter.
func formatMembers(m ledger.Membership) string {
	words := make([]string, 0, len(m.Members()))
	for _, e := range m.Members() {
		word := formatMember(e)
		if e.Voter() {
			word += "*"
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// formatMember returns the ID of a member, and its address unless the ID begins with it.
func formatMember(m ledger.Member) string {
	id := string(m.ID())
	if id == m.Address() || strings.HasPrefix(id, m.Address()+"-") {
		return id
	}
	return id + "@" + m.Address()
}

// formatBallots returns the voters other than this member that were asked, and all voters by their answer. Voters
// without an answer are listed as in the membership, because their address may be the cause.
func formatBallots(a ledger.Attempt, self ledger.MemberID, m ledger.Membership) (asked, granted, refused, unanswered string) {
	var askedIDs, grantedIDs, refusals []string
	var silent []ledger.MemberID
	for _, b := range a.Ballots() {
		id := string(b.Voter())
		if b.Voter() != self {
			askedIDs = append(askedIDs, id)
		}
		switch b.Reason() {
		case ledger.VoteGranted:
			grantedIDs = append(grantedIDs, id)
		case "":
			silent = append(silent, b.Voter())
		default:
			refusals = append(refusals, id+"="+string(b.Reason()))
		}
	}
	return strings.Join(askedIDs, " "), strings.Join(grantedIDs, " "), strings.Join(refusals, " "), formatIDs(silent, m)
}

// formatIDs returns members as the membership lists them, or their IDs if it does not.
func formatIDs(ids []ledger.MemberID, m ledger.Membership) string {
	words := make([]string, 0, len(ids))
	for _, id := range ids {
		if e, known := m.Find(id); known {
			words = append(words, formatMember(e))
			continue
		}
		words = append(words, string(id))
	}
	return strings.Join(words, " ")
}
