package driver

import (
	"context"
	"fmt"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// request is what a caller asks of the leader.
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

func (proposal) request() {}
func (change) request()   {}
func (transfer) request() {}

// call is a request and where its answer goes.
type call[R any] struct {
	request request
	done    chan answer[R]
}

type answer[R any] struct {
	result R
	err    error
}

func (c call[R]) fail(err error) { c.done <- answer[R]{err: err} }

// Propose returns the application's result once the data is committed and applied; the
// caller must not modify the data afterwards. A
// NotLeaderError, ErrStopped or the context's own error says that it will not be
// committed; an UnknownOutcomeError says that it may be.
func (n *Node[R]) Propose(ctx context.Context, data []byte) (result R, err error) {
	return n.ask(ctx, proposal{data: data})
}

// Transfer hands leadership to the most current voter and returns once another member leads.
func (n *Node[R]) Transfer(ctx context.Context) (err error) {
	defer annotate(&err, "transfer leadership")
	if _, err = n.ask(ctx, transfer{}); err != nil {
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

// AddNonVoter adds a member that receives entries but counts in no majority.
func (n *Node[R]) AddNonVoter(ctx context.Context, id ledger.MemberID, address string) (err error) {
	defer annotate(&err, "add non-voter "+string(id))
	_, err = n.ask(ctx, change{kind: ledger.AddNonVoter, id: id, address: address})
	return err
}

// Promote makes a non-voter a voter once it has caught up.
func (n *Node[R]) Promote(ctx context.Context, id ledger.MemberID) (err error) {
	defer annotate(&err, "promote "+string(id))
	_, err = n.ask(ctx, change{kind: ledger.Promote, id: id})
	return err
}

// Remove removes a member.
func (n *Node[R]) Remove(ctx context.Context, id ledger.MemberID) (err error) {
	defer annotate(&err, "remove "+string(id))
	_, err = n.ask(ctx, change{kind: ledger.Remove, id: id})
	return err
}

func annotate(err *error, action string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", action, *err)
	}
}

func (n *Node[R]) ask(ctx context.Context, r request) (result R, err error) {
	c := call[R]{request: r, done: make(chan answer[R], 1)}
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
