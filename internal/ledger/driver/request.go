package driver

import (
	"context"
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/ledger"
)

// request is an operation that only the leader performs.
//
//sumtype:decl
type request interface{ request() }

type proposal struct{ data []byte }

type change struct {
	kind    ledger.ChangeKind
	id      ledger.MemberID
	address string
}

type transfer struct{}

// stop says that the member is about to stop.
type stop struct{}

func (proposal) request() {}
func (change) request()   {}
func (transfer) request() {}
func (stop) request()     {}

// call is a request and the channel for its response, which has room for one response.
type call[R any] struct {
	request request
	done    chan response[R]
}

type response[R any] struct {
	result R
	err    error
}

func (c call[R]) fail(err error) { c.done <- response[R]{err: err} }

// Propose appends data to the log and returns the application's result once the entry is committed and applied. The
// caller must not modify data afterwards. After a NotLeaderError, ErrStopped or the plain error of ctx the entry will
// not be committed; after an UnknownOutcomeError it may be.
func (n *Node[R]) Propose(ctx context.Context, data []byte) (result R, err error) {
	return n.submit(ctx, proposal{data: data})
}

// Transfer transfers leadership to the voter whose log is most up to date, and returns once another leader is known.
func (n *Node[R]) Transfer(ctx context.Context) (err error) {
	defer annotate(&err, "transfer leadership")
	if _, err = n.submit(ctx, transfer{}); err != nil {
		return err
	}
	for {
		s, changed := n.status.Watch()
		if s.leader != "" && s.leader != s.self {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.stopped:
			return ErrStopped
		}
	}
}

// leaveInterval is the interval at which a member that is about to stop tells the leader so.
const leaveInterval = 100 * time.Millisecond

// leaveTimeout is how long Leave waits for the vote to be taken over. It leaves time to replace a lost leader first.
const leaveTimeout = 3 * time.Second

// Leave tells the leader that this member is about to stop. It returns once this member is known to have no vote or no
// non-voter could take it, and an error if that does not happen within leaveTimeout or before ctx ends.
func (n *Node[R]) Leave(ctx context.Context) (err error) {
	defer annotate(&err, "leave")
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		if _, err = n.submit(ctx, stop{}); err != nil {
			return err
		}
		s := n.status.Load()
		self, _ := s.membership.Find(s.self)
		if s.settled && !self.Voter() || s.membership.Voters() == len(s.membership.Members()) {
			return nil
		}
		if !clock.Pause(ctx, leaveInterval) {
			return ctx.Err()
		}
	}
}

// AddNonVoter adds a member that receives entries but does not count towards a majority.
func (n *Node[R]) AddNonVoter(ctx context.Context, id ledger.MemberID, address string) (err error) {
	defer annotate(&err, "add non-voter "+string(id))
	_, err = n.submit(ctx, change{kind: ledger.AddNonVoter, id: id, address: address})
	return err
}

// Promote makes a non-voter a voter, after waiting until it has synced all committed entries.
func (n *Node[R]) Promote(ctx context.Context, id ledger.MemberID) (err error) {
	defer annotate(&err, "promote "+string(id))
	_, err = n.submit(ctx, change{kind: ledger.Promote, id: id})
	return err
}

// Remove removes a voter or non-voter other than the leader and the last voter.
func (n *Node[R]) Remove(ctx context.Context, id ledger.MemberID) (err error) {
	defer annotate(&err, "remove "+string(id))
	_, err = n.submit(ctx, change{kind: ledger.Remove, id: id})
	return err
}

func annotate(err *error, operation string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", operation, *err)
	}
}

func (n *Node[R]) submit(ctx context.Context, r request) (result R, err error) {
	c := call[R]{request: r, done: make(chan response[R], 1)}
	select {
	case n.requests <- c:
	case <-ctx.Done():
		return result, ctx.Err()
	case <-n.stopped:
		return result, ErrStopped
	}
	select {
	case a := <-c.done:
		return a.result, a.err
	case <-ctx.Done():
		return result, &UnknownOutcomeError{cause: ctx.Err()}
	case <-n.stopped:
	}
	select {
	case a := <-c.done:
		return a.result, a.err
	default:
		return result, &UnknownOutcomeError{cause: ErrStopped}
	}
}
