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
	heartbeat   = time.Second
	openTimeout = 10 * time.Second
	dialsAtOnce = 16
	workersRack = 40
	racksZone   = 15
	// tasksEach is the number of tasks of one worker at 42,000 tasks on 7,200 workers.
	tasksEach = 6
)

// Players are fake agents and watchers, each with a connection of its own.
type Players struct {
	pools   []*link.Pool
	notice  chan struct{}
	arrived atomic.Int64
	lastAt  atomic.Int64
}

// Start connects agents that announce each second and watchers, and keeps them until ctx ends.
func Start(ctx context.Context, g *errgroup.Group, folder, control string, agents, watchers int, now time.Time) (p *Players, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start players: %w", err)
		}
	}()
	i, err := openFolder(folder, now)
	if err != nil {
		return nil, err
	}
	p = &Players{pools: make([]*link.Pool, agents+watchers), notice: make(chan struct{}, 1)}
	var dials errgroup.Group
	dials.SetLimit(dialsAtOnce)
	for n := range agents + watchers {
		dials.Go(func() error {
			role, name := "agent", fmt.Sprintf("w%05d", n)
			if n >= agents {
				role, name = "entry", fmt.Sprintf("e%05d", n)
			}
			m, err := i.material(role, name)
			if err != nil {
				return err
			}
			p.pools[n] = link.NewPool(m.Client("control"))
			opening, cancel := context.WithTimeout(ctx, openTimeout)
			defer cancel()
			s, err := p.pools[n].Open(opening, control)
			if err != nil {
				return err
			}
			if role == "agent" {
				g.Go(func() error { return announce(ctx, s, n) })
			} else {
				g.Go(func() error { return p.watch(ctx, s) })
			}
			return nil
		})
	}
	return p, dials.Wait()
}

// Traffic returns the bytes and packets of all players from and to the control process.
func (p *Players) Traffic() (bytes, packets uint64) {
	for _, q := range p.pools {
		t := q.Traffic()
		bytes += t.SentBytes() + t.ReceivedBytes()
		packets += t.SentPackets() + t.ReceivedPackets()
	}
	return bytes, packets
}

// Configs returns how many configurations all watchers have received.
func (p *Players) Configs() int64 { return p.arrived.Load() }

// awaitConfigs returns when all watchers together have received n configurations.
func (p *Players) awaitConfigs(ctx context.Context, n int64) error {
	for {
		if p.arrived.Load() >= n {
			return nil
		}
		select {
		case <-p.notice:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// LastConfig returns when the latest configuration arrived at a watcher.
func (p *Players) LastConfig() time.Time { return time.Unix(0, p.lastAt.Load()) }

func announce(ctx context.Context, s *link.Stream, n int) error {
	stop := s.CancelOnDone(ctx)
	defer stop()
	if err := wire.WriteOpening(s, wire.NewOpening(wire.KindAnnounce, "")); err != nil {
		return err
	}
	if err := wire.ReadStatus(s); err != nil {
		return err
	}
	if err := wire.WriteAnnouncement(s, announcementOf(n)); err != nil {
		return ended(ctx, err)
	}
	for {
		if _, err := wire.ReadReceipt(s); err != nil {
			return ended(ctx, err)
		}
		if !clock.Pause(ctx, heartbeat) {
			return nil
		}
		if err := wire.WriteRenewal(s, 0); err != nil {
			return ended(ctx, err)
		}
	}
}

func (p *Players) watch(ctx context.Context, s *link.Stream) error {
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
			return ended(ctx, err)
		}
		if _, ok := u.Config(); ok {
			p.lastAt.Store(time.Now().UnixNano())
			p.arrived.Add(1)
			select {
			case p.notice <- struct{}{}:
			default:
			}
		}
	}
}

// ended drops the error of an exchange that the end of the measurement cut off.
func ended(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return nil
}

func announcementOf(n int) fleet.Announcement {
	rack := n / workersRack
	w := fleet.NewWorker(fmt.Sprintf("w%05d", n), "r1", fleet.AvailabilityZone(fmt.Sprintf("az%d", rack/racksZone)),
		fleet.Rack(fmt.Sprintf("rack%d", rack))).WithResources(64, 256<<10, 1)
	reports := make([]task.Report, tasksEach)
	for i := range reports {
		reports[i] = task.NewReport(task.NewID(fmt.Sprintf("j-%d", n), i), lease.FencingToken(n), task.Running)
	}
	e := fleet.NewEndpoint(w, fmt.Sprintf("127.0.0.1:%d", 20_000+n), 8, 64, uint64(n)+1)
	return fleet.NewAnnouncement(e, 0, reports)
}
