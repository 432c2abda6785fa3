package leader

import (
	"context"
	"errors"
	"fmt"
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
	// attemptTimeout bounds one exchange with a leader that does not answer; a second attempt then fits into the one
	// second after which operators try another host.
	attemptTimeout = 600 * time.Millisecond
	// avoidDuration is how long the client ignores other hosts that name an unresponsive host as the leader.
	avoidDuration = 2 * time.Second
	// retryPause is the pause between two attempts of a call.
	retryPause = 60 * time.Millisecond
)

// Client sends calls to the leader, which it finds among the control hosts. It is safe for concurrent use.
type Client struct {
	pool            *link.Pool
	known           atomic.Pointer[knownHosts]
	searches        singleflight.Group
	unansweredPings sync.Map // the addresses of hosts that did not answer the latest ping
}

// knownHosts holds the addresses of the control hosts, the presumed leader and the host to avoid; it is immutable.
type knownHosts struct {
	seeds        []string
	hosts        []string
	leader       string
	avoided      string
	avoidedUntil time.Time
}

// avoids reports whether the host at address left an attempt unanswered within the last avoidDuration.
func (k *knownHosts) avoids(address string, now time.Time) bool {
	return address == k.avoided && now.Before(k.avoidedUntil)
}

// NewClient returns a client that finds the control hosts through the given seed addresses.
func NewClient(p *link.Pool, seeds []string) *Client {
	c := &Client{pool: p}
	c.known.Store(&knownHosts{seeds: seeds, hosts: seeds})
	return c
}

// SetSeeds replaces the seed addresses. Hosts that are already known stay known until a leader lists the hosts.
func (c *Client) SetSeeds(seeds []string) {
	c.update(func(k *knownHosts) bool {
		k.seeds, k.hosts = seeds, merge(k.hosts, seeds)
		return true
	})
}

// update replaces the known hosts by a copy that change has modified, unless change returns false. It calls change again
// if they were replaced meanwhile, so that no concurrent update is lost.
func (c *Client) update(change func(k *knownHosts) bool) {
	for {
		old := c.known.Load()
		next := *old
		if !change(&next) || c.known.CompareAndSwap(old, &next) {
			return
		}
	}
}

// SuggestLeader sets the address of the presumed leader. It ignores an empty address and that of an avoided host.
func (c *Client) SuggestLeader(leader string) {
	c.update(func(k *knownHosts) bool {
		if leader == "" || leader == k.leader || k.avoids(leader, time.Now()) {
			return false
		}
		k.leader = leader
		return true
	})
}

// Hosts returns the addresses at which the client looks for the leader. The caller must not modify the slice.
func (c *Client) Hosts() []string { return c.known.Load().hosts }

// Leader returns the address of the presumed leader, empty if none is known.
func (c *Client) Leader() string { return c.known.Load().leader }

// Call sends a call to the leader and retries it until ctx ends, but for at most unsentTimeout while no attempt may have
// reached a leader; 0 is no bound. It returns early if no control host can be reached. The reply is Unavailable if the
// call had no effect, and Uncertain if it may have had one: also if the leader refuses the call after an attempt without
// an answer.
func (c *Client) Call(ctx context.Context, trace string, request call.Call, unsentTimeout time.Duration) call.Reply {
	uncertain, reason := false, "no control host was reached"
	unsent, cancel := ctx, context.CancelFunc(func() {})
	if unsentTimeout > 0 {
		unsent, cancel = context.WithTimeout(ctx, unsentTimeout)
	}
	defer cancel()
	for first := true; ; first = false {
		bounded := unsent
		if uncertain {
			bounded = ctx
		}
		if !first && !clock.Pause(bounded, retryPause) || bounded.Err() != nil {
			return failureReply(uncertain, reason)
		}
		address := c.Leader()
		if address == "" {
			found := c.findLeader(bounded)
			switch {
			case found.leader != "":
				address = found.leader
			case found.reached:
				reason = "no leader is known"
				continue
			default:
				// Another host serves the caller sooner than a retry on this one.
				return failureReply(uncertain, errNoHostReached.Error())
			}
		}
		r, sent, err := c.attempt(ctx, bounded, address, trace, request)
		if err != nil {
			uncertain = uncertain || sent
			reason = err.Error()
			// A caller that has given up tells nothing about the leader; the search that attempt starts for a slow leader does.
			if ctx.Err() == nil && (sent || bounded.Err() == nil) {
				c.avoid(address)
			}
			if errors.Is(err, errNoHostReached) {
				return failureReply(uncertain, reason)
			}
			continue
		}
		switch r.Outcome() {
		case call.NotLeader:
			c.acceptRedirect(address, r)
			reason = "no leader is known"
			continue
		case call.Uncertain:
			c.addHosts(r)
			uncertain, reason = true, r.Reason()
			continue
		case call.OK, call.Invalid, call.Unauthorized, call.NoQueue, call.NoJob, call.Refused, call.Unavailable:
		}
		c.acceptAnswer(address, r)
		if uncertain && !conclusive(request, r.Outcome()) {
			return failureReply(true, fmt.Sprintf("after an attempt without an answer, the reply was %s: %s", r.Outcome(), r.Reason()))
		}
		return r
	}
}

// acceptRedirect records the reply of the host at address, which does not lead.
func (c *Client) acceptRedirect(address string, r call.Reply) {
	c.addHosts(r)
	if r.Leader() == "" || r.Leader() == address {
		c.dropLeader(address)
	}
}

// acceptAnswer records the reply of the host at address to a call. A host that has just lost leadership may still answer
// that it is unavailable.
func (c *Client) acceptAnswer(address string, r call.Reply) {
	if r.Outcome() == call.Unavailable {
		c.addHosts(r)
		return
	}
	c.updateHosts(r)
	if r.Leader() == "" || r.Leader() == address {
		c.confirmLeader(address)
	}
}

func failureReply(uncertain bool, reason string) call.Reply {
	if uncertain {
		return call.NewReply(call.Uncertain, reason)
	}
	return call.NewReply(call.Unavailable, reason).WithRetryAfter(unavailableRetryAfter)
}

// unavailableRetryAfter is about the time that the election of another leader takes.
const unavailableRetryAfter = time.Second

// updateHosts takes the control hosts and the leader from a reply that lists the hosts.
func (c *Client) updateHosts(r call.Reply) {
	c.takeHosts(r, func(k *knownHosts) []string { return merge(r.Hosts(), k.seeds) })
}

// addHosts adds the control hosts that a follower's reply lists and takes the leader that it names. The list does not
// replace the known hosts, since a follower may have missed changes of the membership; the list of a leader does.
func (c *Client) addHosts(r call.Reply) {
	c.takeHosts(r, func(k *knownHosts) []string { return merge(r.Hosts(), k.hosts) })
}

// takeHosts takes the hosts that merged returns, and the leader that the reply names unless it is avoided.
func (c *Client) takeHosts(r call.Reply, merged func(k *knownHosts) []string) {
	c.update(func(k *knownHosts) bool {
		hosts := merged(k)
		if len(r.Hosts()) == 0 || r.Leader() == k.leader && slices.Equal(k.hosts, hosts) {
			return false
		}
		k.hosts = hosts
		if r.Leader() != "" && !k.avoids(r.Leader(), time.Now()) {
			k.leader = r.Leader()
		}
		return true
	})
}

// confirmLeader sets the presumed leader to the host at address, which has answered as the leader, and no longer avoids
// it.
func (c *Client) confirmLeader(address string) {
	c.update(func(k *knownHosts) bool {
		if k.leader == address && k.avoided != address {
			return false
		}
		k.leader = address
		if k.avoided == address {
			k.avoided = ""
		}
		return true
	})
}

// dropLeader clears the presumed leader if it has the given address.
func (c *Client) dropLeader(address string) {
	c.update(func(k *knownHosts) bool {
		if k.leader != address {
			return false
		}
		k.leader = ""
		return true
	})
}

// avoid clears the presumed leader if it has the given address, and ignores for avoidDuration that others name this
// host as the leader; a search in which the host itself answers as the leader still finds it.
func (c *Client) avoid(address string) {
	c.dropLeader(address)
	c.update(func(k *knownHosts) bool {
		k.avoided, k.avoidedUntil = address, time.Now().Add(avoidDuration)
		return true
	})
}

// merge returns the addresses of both lists, sorted and without duplicates.
func merge(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}
