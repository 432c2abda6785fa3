package driver

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/board"
)

// Lengths of the queues. A caller blocks while the request queue is full; a message is dropped while the message queue
// is full, as the transport may drop it too.
const (
	requestQueueLength = 1024
	messageQueueLength = 1024
)

// Applier is the replicated application. A node calls it from one goroutine only.
type Applier[R any] interface {
	// Apply applies the data of a committed entry and returns the result for its proposer. Indices are ascending.
	Apply(index uint64, data []byte) R
	// Snapshot returns the encoded state after all applied entries.
	Snapshot() (data []byte, err error)
	// Restore replaces the state with that of a snapshot.
	Restore(data []byte) error
}

// Node runs one member of the replicated log. Its methods may be called concurrently.
type Node[R any] struct {
	options  options
	applier  Applier[R]
	status   *board.Section[Status]
	requests chan call[R]
	messages chan envelope
	stopped  chan struct{}
}

// NewNode returns a node that does nothing until Run is called. WithMember and WithStorage are mandatory.
func NewNode[R any](applier Applier[R], opts ...Option) (n *Node[R], err error) {
	n = &Node[R]{
		options:  newOptions(opts),
		applier:  applier,
		status:   board.NewSection(NewProbingStatus(Probing{})),
		requests: make(chan call[R], requestQueueLength),
		messages: make(chan envelope, messageQueueLength),
		stopped:  make(chan struct{}),
	}
	switch {
	case n.options.storage == nil:
		return nil, errors.New("new ledger node: no storage")
	case n.options.id == "":
		return nil, errors.New("new ledger node: no member id")
	}
	return n, nil
}

// Status returns the section in which the node publishes its status.
func (n *Node[R]) Status() *board.Section[Status] { return n.status }

// Run runs the node until ctx is done, and then returns nil. It returns an error if the storage or the application
// fails, after which the process must end. Run must be called only once.
func (n *Node[R]) Run(ctx context.Context) (err error) {
	defer func() {
		err = errors.Join(err, n.options.storage.Close())
		if err != nil {
			err = fmt.Errorf("ledger member %s: %w", n.options.id, err)
		}
	}()
	defer close(n.stopped)
	saved, err := n.bootstrap(ctx)
	if err != nil {
		return ignoreContextEnd(ctx, err)
	}
	g, inner := errgroup.WithContext(ctx)
	l := newLoop(n, saved)
	g.Go(func() error { return l.run(inner) })
	g.Go(func() error { return l.save(inner) })
	g.Go(func() error { return l.apply(inner, saved.Snapshot()) })
	return ignoreContextEnd(ctx, g.Wait())
}

// ignoreContextEnd returns nil if err is the error of the finished ctx.
func ignoreContextEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}
