package leader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"rosemarywind.example/rosemarywind/internal/call"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/link"
)

const (
	// attemptTimeout bounds one exchange, so that a leader that stands still costs a call no more than this; a second
	// attempt then fits into the second after which operators turn to another host.
	attemptTimeout = 600 * time.Millisecond
	// avoidTime is how long a host that did not answer is not taken for the leader on the word of others.
	avoidTime = 2 * time.Second
	// retryPause is waited before the leader is looked for again.
	retryPause = 60 * time.Millisecond
)

// Client passes calls to the leader, wherever it is. Its methods may be called from several threads.
type Client struct {
	pool     *link.Pool
	known    atomic.Pointer[known]
	searches singleflight.Group
	silent   sync.Map // the addresses whose latest ping was not answered
}

// known is what a client knows of the control hosts; it is immutable.
type known struct {
	seeds        []string
	hosts        []string
	leader       string
	avoided      string
	avoidedUntil time.Time
}

// avoids reports whether a host did not answer lately.
func (k *known) avoids(address string, now time.Time) bool {
	return address == k.avoided && now.Before(k.avoidedUntil)
}

// NewClient returns a client that begins with the given addresses of control hosts.
func NewClient(p *link.Pool, seeds []string) *Client {
	c := &Client{pool: p}
	c.known.Store(&known{seeds: seeds, hosts: seeds})
	return c
}

// SetSeeds replaces the addresses that the client began with.
func (c *Client) SetSeeds(seeds []string) {
	k := *c.known.Load()
	k.seeds = seeds
	k.hosts = merge(k.hosts, seeds)
	c.known.Store(&k)
}

// SuggestLeader names the leader as somebody else knows it.
func (c *Client) SuggestLeader(leader string) {
	old := c.known.Load()
	if leader == "" || leader == old.leader || old.avoids(leader, time.Now()) {
		return
	}
	next := *old
	next.leader = leader
	c.known.CompareAndSwap(old, &next)
}

// Leader returns the address of the leader as far as it is known.
func (c *Client) Leader() string { return c.known.Load().leader }

// Call passes a call to the leader until ctx ends, but for no longer than patience while no attempt may have reached a
// leader; a patience of 0 is no bound. It gives up sooner when no control host can be reached. The reply is Unavailable
// if the call had no effect, and Uncertain if it may have had one.
func (c *Client) Call(ctx context.Context, trace string, asked call.Call, patience time.Duration) call.Reply {
	uncertain, reason := false, "no control host was reached"
	unsent, cancel := ctx, context.CancelFunc(func() {})
	if patience > 0 {
		unsent, cancel = context.WithTimeout(ctx, patience)
	}
	defer cancel()
	for first := true; ; first = false {
		bounded := unsent
		if uncertain {
			bounded = ctx
		}
		if !first && !clock.Pause(bounded, retryPause) || bounded.Err() != nil {
			return unfinished(uncertain, reason)
		}
		address := c.Leader()
		if address == "" {
			found := c.find(bounded)
			switch {
			case found.leader != "":
				address = found.leader
			case found.reached:
				reason = "no leader is known"
				continue
			default:
				// Whoever asked is served sooner by another host than by waiting here.
				return unfinished(uncertain, errUnreached.Error())
			}
		}
		r, sent, err := c.ask(ctx, bounded, address, trace, asked)
		if err != nil {
			uncertain = uncertain || sent
			reason = err.Error()
			c.avoid(address)
			if errors.Is(err, errUnreached) {
				return unfinished(uncertain, reason)
			}
			continue
		}
		c.learn(r)
		switch r.Outcome() {
		case call.NotLeader:
			reason = "no leader is known"
			if r.Leader() == "" || r.Leader() == address {
				c.forget(address)
			}
			continue
		case call.Uncertain:
			uncertain, reason = true, r.Reason()
			continue
		case call.Refused, call.Unavailable:
			if uncertain {
				return unfinished(true, r.Reason())
			}
		case call.OK, call.Invalid, call.Unauthorized, call.NoQueue, call.NoJob:
		}
		return r
	}
}

func unfinished(uncertain bool, reason string) call.Reply {
	if uncertain {
		return call.NewReply(call.Uncertain, reason)
	}
	return call.NewReply(call.Unavailable, reason).WithRetryAfter(unavailablePause)
}

// unavailablePause is about what the election of another leader takes.
const unavailablePause = time.Second

// learn takes over what a reply says of the control hosts.
func (c *Client) learn(r call.Reply) {
	old := c.known.Load()
	if len(r.Hosts()) == 0 || r.Leader() == old.leader && slices.Equal(old.hosts, merge(r.Hosts(), old.seeds)) {
		return
	}
	next := *old
	next.hosts = merge(r.Hosts(), old.seeds)
	if r.Leader() != "" && !old.avoids(r.Leader(), time.Now()) {
		next.leader = r.Leader()
	}
	c.known.Store(&next)
}

// forget drops the leader if it has the given address.
func (c *Client) forget(address string) {
	old := c.known.Load()
	if old.leader != address {
		return
	}
	next := *old
	next.leader = ""
	c.known.CompareAndSwap(old, &next)
}

// avoid drops a leader that did not answer, and does not take it for the leader for a while unless it says so itself.
func (c *Client) avoid(address string) {
	c.forget(address)
	old := c.known.Load()
	next := *old
	next.avoided, next.avoidedUntil = address, time.Now().Add(avoidTime)
	c.known.CompareAndSwap(old, &next)
}

// merge returns the addresses of both lists, each once, in order.
func merge(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}
