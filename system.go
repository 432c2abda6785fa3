package rosemarywind

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/agent"
	"rosemarywind.example/rosemarywind/internal/control"
	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/standin"
)

// loopback is the address that all ports of the system are opened at.
const loopback = "127.0.0.1:0"

// keyLife is the life of the keys that the system makes for itself.
const keyLife = 24 * time.Hour

// System is a whole system in one process.
type System struct {
	options
	authority *keys.Authority
	token     string
	runs      []func(ctx context.Context) error
	controls  []*control.Control
	entries   []*entry.Entry
	agents    []*agent.Agent
	standins  []*standin.Standin
	entryURLs []string
	apiURLs   []string
}

// New opens the ports of a system that Run starts; now is the beginning of the life of its keys.
func New(now time.Time, opts ...Option) (s *System, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("system: %w", err)
		}
	}()
	s = &System{options: options{
		logger: hclog.NewNullLogger(), controls: 1, entries: 2, workers: 11, perRack: 3, zones: 3,
		accelerators: 8, slots: 8, latency: 5 * time.Millisecond, taskLease: 30 * time.Second,
	}, token: keys.NewToken()}
	for _, o := range opts {
		o(&s.options)
	}
	if s.authority, err = keys.NewAuthority("rosemarywind", now, keyLife); err != nil {
		return nil, err
	}
	addresses, err := s.addControls(now)
	if err != nil {
		return nil, err
	}
	for i := range s.workers {
		if err = s.addWorker(i, addresses, now); err != nil {
			return nil, err
		}
	}
	for i := range s.options.entries {
		if err = s.addEntry(i, addresses, now); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Run runs all roles until ctx ends or one of them fails.
func (s *System) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range s.runs {
		g.Go(func() error { return f(ctx) })
	}
	return g.Wait()
}

// EntryURLs returns the base URLs for callers.
func (s *System) EntryURLs() []string { return s.entryURLs }

// ControlURLs returns the base URLs for operators.
func (s *System) ControlURLs() []string { return s.apiURLs }

// OperatorToken returns the operators' token.
func (s *System) OperatorToken() string { return s.token }

// Runs returns how often the endpoints ran the request with the given idempotency key.
func (s *System) Runs(key string) (n int64) {
	for _, e := range s.standins {
		n += e.Runs(key)
	}
	return n
}

// Served returns the number of requests that the endpoints ran.
func (s *System) Served() (n int64) {
	for _, e := range s.standins {
		n += e.Served()
	}
	return n
}

// reloader returns the key material of one process.
func (s *System) reloader(role, name string, now time.Time) (r *keys.Reloader, err error) {
	id, err := keys.NewIdentity(role, name)
	if err != nil {
		return nil, err
	}
	pair, err := s.authority.Issue(id, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, now, keyLife)
	if err != nil {
		return nil, err
	}
	return keys.NewStaticReloader(pair, s.authority.Pair().Certificate())
}

func listen() (l net.Listener, url string, err error) {
	if l, err = net.Listen("tcp", loopback); err != nil {
		return nil, "", err
	}
	return l, "http://" + l.Addr().String(), nil
}
