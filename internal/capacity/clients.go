package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/wire"
)

const (
	renewalInterval  = time.Second
	openTimeout      = 10 * time.Second
	maxParallelDials = 16
	workersPerRack   = 40
	racksPerZone     = 15
	// tasksPerWorker is the number of tasks of one worker if 42,000 tasks run on 7,200 workers.
	tasksPerWorker = 6
)

// Clients are simulated agents and watchers, each with a connection of its own.
type Clients struct {
	pools             []*link.Pool
	configReceived    chan struct{}
	receivedConfigs   atomic.Int64
	lastReceivedNanos atomic.Int64
}

// Start connects agents, which renew their announcement every second, and watchers, and keeps both connected until ctx
// is done. Errors of the connections are reported by g.
func Start(ctx context.Context, g *errgroup.Group, folder, control string, agents, watchers int, now time.Time) (c *Clients, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start clients: %w", err)
		}
	}()
	is, err := openIssuer(folder, now)
	if err != nil {
		return nil, err
	}
	c = &Clients{pools: make([]*link.Pool, agents+watchers), configReceived: make(chan struct{}, 1)}
	var dials errgroup.Group
	dials.SetLimit(maxParallelDials)
	for n := range agents + watchers {
		dials.Go(func() error {
			role, name := "agent", fmt.Sprintf("w%05d", n)
			if n >= agents {
				role, name = "entry", fmt.Sprintf("e%05d", n)
			}
			r, err := is.newReloader(role, name)
			if err != nil {
				return err
			}
			c.pools[n] = link.NewPool(r.Client("control"))
			openCtx, cancel := context.WithTimeout(ctx, openTimeout)
			defer cancel()
			s, err := c.pools[n].Open(openCtx, control)
			if err != nil {
				return err
			}
			if role == "agent" {
				g.Go(func() error { return announce(ctx, s, n) })
			} else {
				g.Go(func() error { return c.watch(ctx, s) })
			}
			return nil
		})
	}
	return c, dials.Wait()
}

// Traffic returns the bytes and packets that all clients have sent to and received from the control process.
func (c *Clients) Traffic() (bytes, packets uint64) {
	for _, q := range c.pools {
		t := q.Traffic()
		bytes += t.SentBytes() + t.ReceivedBytes()
		packets += t.SentPackets() + t.ReceivedPackets()
	}
	return bytes, packets
}

// ReceivedConfigs returns the number of configurations received, summed over all watchers.
func (c *Clients) ReceivedConfigs() int64 { return c.receivedConfigs.Load() }

// awaitConfigs blocks until ReceivedConfigs is at least n, or returns the error of ctx.
func (c *Clients) awaitConfigs(ctx context.Context, n int64) error {
	for {
		if c.receivedConfigs.Load() >= n {
			return nil
		}
		select {
		case <-c.configReceived:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// LastConfigTime returns when a watcher last received a configuration.
func (c *Clients) LastConfigTime() time.Time { return time.Unix(0, c.lastReceivedNanos.Load()) }

func announce(ctx context.Context, s *link.Stream, n int) error {
	stop := s.CancelOnDone(ctx)
	defer stop()
	if err := wire.WriteOpening(s, wire.NewOpening(wire.KindAnnounce, "")); err != nil {
		return err
	}
	if err := wire.ReadStatus(s); err != nil {
		return err
	}
	if err := wire.WriteAnnouncement(s, newAnnouncement(n)); err != nil {
		return ignoreWhenDone(ctx, err)
	}
	for {
		if _, err := wire.ReadReceipt(s); err != nil {
			return ignoreWhenDone(ctx, err)
		}
		if !clock.Pause(ctx, renewalInterval) {
			return nil
		}
		if err := wire.WriteRenewal(s, 0); err != nil {
			return ignoreWhenDone(ctx, err)
		}
	}
}

func (c *Clients) watch(ctx context.Context, s *link.Stream) error {
	stop := s.CancelOnDone(ctx)
	defer stop()
	if err := wire.WriteOpening(s, wire.NewOpening(wire.KindWatch, "")); err != nil {
		return err
	}
	if err := wire.ReadStatus(s); err != nil {
		return err
	}
	for {
		u, err := wire.ReadUpdate(s)
		if err != nil {
			return ignoreWhenDone(ctx, err)
		}
		if _, ok := u.Config(); ok {
			c.lastReceivedNanos.Store(time.Now().UnixNano())
			c.receivedConfigs.Add(1)
			select {
			case c.configReceived <- struct{}{}:
			default:
			}
		}
	}
}

// ignoreWhenDone returns nil instead of err if ctx is done, because the end of the measurement closes the streams.
func ignoreWhenDone(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return nil
}

func newAnnouncement(n int) fleet.Announcement {
	rack := n / workersPerRack
	w := fleet.NewWorker(fmt.Sprintf("w%05d", n), "r1", fleet.AvailabilityZone(fmt.Sprintf("az%d", rack/racksPerZone)),
		fleet.Rack(fmt.Sprintf("rack%d", rack))).WithResources(64, 256<<10, 1)
	reports := make([]task.Report, tasksPerWorker)
	for i := range reports {
		reports[i] = task.NewReport(task.NewID(fmt.Sprintf("j-%d", n), i), lease.FencingToken(n), task.Running)
	}
	e := fleet.NewEndpoint(w, fmt.Sprintf("127.0.0.1:%d", 20_000+n), 8, 64, uint64(n)+1)
	return fleet.NewAnnouncement(e, 0, reports)
}
