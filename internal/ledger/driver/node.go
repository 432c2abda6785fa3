package driver

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Sizes of the inboxes. Requests wait when theirs is full; messages are dropped, as the transport may do.
const (
	requestInbox = 1024
	messageInbox = 1024
)

// Applier is the replicated application. One goroutine calls it.
type Applier[R any] interface {
	// Apply takes over the data of a committed entry, in the order of the indices.
	Apply(index uint64, data []byte) R
	// Snapshot returns the whole state.
	Snapshot() (data []byte, err error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Node is one running member of the ledger.
type Node[R any] struct {
	options  options
	applier  Applier[R]
	status   *board.Section[Status]
	requests chan call[R]
	messages chan delivery
	stopped  chan struct{}
}

// NewNode returns a node that Run starts.
func NewNode[R any](applier Applier[R], opts ...Option) (n *Node[R], err error) {
	n = &Node[R]{
		options:  newOptions(opts),
		applier:  applier,
		status:   board.NewSection(Status{role: ledger.Follower}),
		requests: make(chan call[R], requestInbox),
		messages: make(chan delivery, messageInbox),
		stopped:  make(chan struct{}),
	}
	switch {
	case n.options.storage == nil:
		return nil, errors.New("a ledger node needs a storage")
	case n.options.id == "":
		return nil, errors.New("a ledger node needs a member id")
	}
	return n, nil
}

// Status returns the section that the node publishes its status in.
func (n *Node[R]) Status() *board.Section[Status] { return n.status }

// Run runs the node until the context ends, which is no error, or until storage or
// the application fails, after which the process must end. A node runs once.
func (n *Node[R]) Run(ctx context.Context) (err error) {
	defer func() {
		err = errors.Join(err, n.options.storage.Close())
		if err != nil {
			err = fmt.Errorf("ledger member %s: %w", n.options.id, err)
		}
	}()
	defer close(n.stopped)
	saved, err := n.found(ctx)
	if err != nil {
		return ignoreEnd(ctx, err)
	}
	g, inner := errgroup.WithContext(ctx)
	l := newLoop(n, saved)
	g.Go(func() error { return l.run(inner) })
	g.Go(func() error { return l.save(inner) })
	g.Go(func() error { return l.apply(inner, saved.Snapshot()) })
	return ignoreEnd(ctx, g.Wait())
}

// ignoreEnd drops the error that only says that the context has ended.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}
