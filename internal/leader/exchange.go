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
	// confirmAfter is how long an exchange is unanswered before the client checks that the host is still the leader.
	confirmAfter = 200 * time.Millisecond
	// findTimeout bounds a search for the leader; it leaves time for a handshake with a slow host.
	findTimeout = 400 * time.Millisecond
)

// attempt exchanges a call with the leader at address, and returns early if a search shows that this host is no longer
// the leader; sent reports whether the call may have reached it.
func (c *Client) attempt(
	ctx, opening context.Context, address, trace string, request call.Call,
) (r call.Reply, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	opening, cancelOpening := context.WithTimeout(opening, attemptTimeout)
	defer cancelOpening()
	var noHostReached atomic.Bool
	check := time.AfterFunc(confirmAfter, func() {
		if f := c.findLeader(ctx); f.leader != address {
			noHostReached.Store(!f.reached)
			cancel()
			cancelOpening()
		}
	})
	defer check.Stop()
	r, sent, err = c.exchange(ctx, opening, address, trace, request)
	if err != nil && noHostReached.Load() {
		err = errNoHostReached
	}
	return r, sent, err
}

// errNoHostReached is the error of an attempt during which a search reached no control host.
var errNoHostReached = errors.New("no control host can be reached")

// exchange sends a call to one host and reads the reply; the connection must be established before opening ends.
func (c *Client) exchange(
	ctx, opening context.Context, address, trace string, request call.Call,
) (r call.Reply, sent bool, err error) {
	s, err := c.pool.Open(opening, address)
	if err != nil {
		return r, false, err
	}
	stop := s.CancelOnDone(ctx)
	defer stop()
	// A host that has replied stops reading, so a reply may exist although the write failed.
	writeErr := wire.WriteCall(s, trace, request)
	s.CloseWrite()
	if r, err = wire.ReadReply(s); err != nil {
		s.Cancel()
		err = errors.Join(err, writeErr)
		return r, !link.NotServed(err), err
	}
	s.Finish()
	return r, true, nil
}

// Confirm asks all control hosts for the leader, and reports whether it is the one at address or ctx ended before the
// answer. It searches a second time before it concludes that there is no leader.
func (c *Client) Confirm(ctx context.Context, address string) bool {
	f := c.findLeader(ctx)
	if f.leader == "" && ctx.Err() == nil {
		f = c.findLeader(ctx)
	}
	return f.leader == address || ctx.Err() != nil
}

// searchResult is the outcome of a search for the leader.
type searchResult struct {
	leader  string // empty if none was found
	reached bool   // a control host answered
}

// findLeader asks all control hosts concurrently which of them is the leader; concurrent calls share one search.
func (c *Client) findLeader(ctx context.Context) searchResult {
	shared := c.searches.DoChan("", func() (any, error) { return c.search(), nil })
	select {
	case r := <-shared:
		return r.Val.(searchResult)
	case <-ctx.Done():
		return searchResult{reached: true}
	}
}

// search pings all control hosts and returns at the first that is the leader, or when each has answered or timed out.
func (c *Client) search() (f searchResult) {
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	hosts := c.known.Load().hosts
	answers := make(chan searchResult, len(hosts))
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

// ping asks one host whether it is the leader. After two unanswered pings in a row it replaces the connection, which may
// be broken while new ones work.
func (c *Client) ping(ctx context.Context, address string) searchResult {
	r, sent, err := c.exchange(ctx, ctx, address, "", call.Ping{})
	if err != nil {
		if sent && ctx.Err() == context.DeadlineExceeded {
			if _, unanswered := c.unansweredPings.LoadOrStore(address, true); unanswered {
				c.unansweredPings.Delete(address)
				c.pool.Disconnect(address)
			}
		}
		c.dropLeader(address)
		return searchResult{}
	}
	c.unansweredPings.Delete(address)
	if r.Outcome() == call.NotLeader {
		c.dropLeader(address)
		c.addHosts(r.WithHosts("", r.Hosts()))
		return searchResult{reached: true}
	}
	c.updateHosts(r.WithHosts(address, r.Hosts()))
	c.confirmLeader(address)
	return searchResult{leader: address, reached: true}
}
