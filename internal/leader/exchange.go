package leader

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"rosemarywind.example/rosemarywind/internal/call"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

const (
	// checkAfter is how long an exchange goes unanswered until the client makes sure that the host still leads.
	checkAfter = 200 * time.Millisecond
	// findTimeout bounds a search for the leader; a handshake with a slow host fits in.
	findTimeout = 400 * time.Millisecond
)

// ask exchanges a call with the leader, and gives up early when a search shows that it does not lead any more; sent
// reports whether the call may have reached it.
func (c *Client) ask(
	ctx, opening context.Context, address, trace string, asked call.Call,
) (r call.Reply, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	opening, opened := context.WithTimeout(opening, attemptTimeout)
	defer opened()
	var unreached atomic.Bool
	check := time.AfterFunc(checkAfter, func() {
		if f := c.find(ctx); f.leader != address {
			unreached.Store(!f.reached)
			cancel()
			opened()
		}
	})
	defer check.Stop()
	r, sent, err = c.exchange(ctx, opening, address, trace, asked)
	if err != nil && unreached.Load() {
		err = errUnreached
	}
	return r, sent, err
}

// errUnreached says that no control host answers.
var errUnreached = errors.New("no control host can be reached")

// exchange asks one host, whose connection must be there before opening ends.
func (c *Client) exchange(
	ctx, opening context.Context, address, trace string, asked call.Call,
) (r call.Reply, sent bool, err error) {
	s, err := c.pool.Open(opening, address)
	if err != nil {
		return r, false, err
	}
	stop := s.CancelOnDone(ctx)
	defer stop()
	if err = wire.WriteCall(s, trace, asked); err == nil {
		s.CloseWrite()
		r, err = wire.ReadReply(s)
	}
	if err != nil {
		s.Cancel()
		return r, !link.NotServed(err), err
	}
	s.Finish()
	return r, true, nil
}

// Confirm asks all control hosts who leads, and reports whether the one at address does. It asks again before it takes
// silence for an answer.
func (c *Client) Confirm(ctx context.Context, address string) bool {
	f := c.find(ctx)
	if f.leader == "" && ctx.Err() == nil {
		f = c.find(ctx)
	}
	return f.leader == address || ctx.Err() != nil
}

// found is what a search for the leader brought.
type found struct {
	leader  string
	reached bool // a control host answered
}

// find asks all control hosts at once which of them leads; calls that look for it at the same time share one search.
func (c *Client) find(ctx context.Context) found {
	shared := c.searches.DoChan("", func() (any, error) { return c.search(), nil })
	select {
	case r := <-shared:
		return r.Val.(found)
	case <-ctx.Done():
		return found{reached: true}
	}
}

// search ends with the first host that leads, or when all have answered or had their time.
func (c *Client) search() (f found) {
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	hosts := c.known.Load().hosts
	answers := make(chan found, len(hosts))
	for _, address := range hosts {
		go func() { answers <- c.ping(ctx, address) }()
	}
	for range hosts {
		a := <-answers
		f.reached = f.reached || a.reached
		if a.leader != "" {
			return a
		}
	}
	return f
}

// ping asks one host whether it leads. A connection on which it has not answered twice in a row is replaced, since it may
// have gone silent while new ones work.
func (c *Client) ping(ctx context.Context, address string) found {
	r, sent, err := c.exchange(ctx, ctx, address, "", call.Ping{})
	if err != nil {
		if sent && ctx.Err() == context.DeadlineExceeded {
			if _, before := c.silent.LoadOrStore(address, true); before {
				c.silent.Delete(address)
				c.pool.Disconnect(address)
			}
		}
		c.forget(address)
		return found{}
	}
	c.silent.Delete(address)
	if r.Outcome() == call.NotLeader {
		c.forget(address)
		c.learn(r.WithHosts("", r.Hosts()))
		return found{reached: true}
	}
	c.learn(r.WithHosts(address, r.Hosts()))
	c.Suggest(address)
	return found{leader: address, reached: true}
}
