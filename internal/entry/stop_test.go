package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/agent"
	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/standin"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	clients = 8
	// slowCallers send requests that run on when a stopping process has told its peers that it is leaving.
	slowCallers = 2
	// batch is the number of replies between two steps of a test under load.
	batch = 200
)

// beside is a real agent, cut off from control, and the stand-in of its endpoint.
type beside struct {
	endpoint fleet.Endpoint
	standin  *standin.Standin
	url      string
	stop     context.CancelFunc
	ended    chan error
}

func (w *world) beside(name string) *beside {
	w.t.Helper()
	l, err := net.Listen("tcp", loopback)
	require.NoError(w.t, err)
	b := &beside{standin: standin.New(name, 8), ended: make(chan error, 1)}
	go func() { _ = b.standin.Run(w.ctx, l) }()
	m := w.material("agent", name)
	server, err := link.Listen(loopback, m.Server())
	require.NoError(w.t, err)
	worker, url := fleet.NewWorker(name, "r1", "az1", "rack1"), "http://"+l.Addr().String()
	a := agent.New(agent.WithTLS(m.Client("control")), agent.WithServer(server, server.Address().String()),
		agent.WithControl([]string{"127.0.0.1:9"}), agent.WithWorker(worker, url), agent.WithEndpoint(url, 64, 64),
		agent.WithGrace(patience))
	b.url = url
	b.endpoint = fleet.NewEndpoint(worker, server.Address().String(), 64, 64, a.Incarnation())
	ctx, stop := context.WithCancel(w.ctx)
	b.stop = stop
	go func() {
		b.ended <- a.Run(ctx)
		close(b.ended)
	}()
	w.t.Cleanup(func() {
		stop()
		for range b.ended {
		}
	})
	requireSection(w.t, a.Board().ProbedState(), func(s fleet.EndpointState) bool { return s == fleet.Ready })
	return b
}

// traffic is the load of some callers, each with a connection of its own.
type traffic struct {
	replies chan reply
	errors  chan error
	done    chan struct{}
	active  sync.WaitGroup
}

// newTraffic starts callers; one that is asked to close its connection goes to the next entry, as a load balancer does.
func newTraffic(sites ...*site) *traffic {
	l := &traffic{replies: make(chan reply), errors: make(chan error, clients), done: make(chan struct{})}
	for c := range clients {
		l.active.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			at := c
			for n := 0; ; n++ {
				r, closing, err := exchange(&http.Client{Transport: transport}, sites[at%len(sites)].url, c, n)
				if err != nil {
					l.errors <- err
					return
				}
				if closing {
					at++
				}
				select {
				case l.replies <- r:
				case <-l.done:
					return
				}
			}
		})
	}
	return l
}

func exchange(client *http.Client, url string, caller, n int) (r reply, closing bool, err error) {
	method := http.MethodGet
	if n%2 == 0 {
		method = http.MethodPost
	}
	path := "/w/previews/a?ms=5"
	if caller < slowCallers {
		path = "/w/previews/a?ms=1200"
	}
	h, err := http.NewRequest(method, url+path, strings.NewReader(fmt.Sprint(caller, n)))
	if err != nil {
		return reply{}, false, err
	}
	h.Header.Set("Authorization", "Bearer "+token)
	answer, err := client.Do(h)
	if err != nil {
		return reply{}, false, err
	}
	r, err = read(answer)
	return r, answer.Close, err
}

// assertRan checks the next replies: each request ran, and no connection was cut.
func (l *traffic) assertRan(t *testing.T, n int) {
	t.Helper()
	for range n {
		select {
		case r := <-l.replies:
			assert.Equal(t, outcome.Ran, r.outcome, r.body)
		case err := <-l.errors:
			require.NoError(t, err)
		}
	}
}

// assertRanUntil checks replies until a process has ended.
func (l *traffic) assertRanUntil(t *testing.T, ended <-chan error) {
	t.Helper()
	for {
		select {
		case err := <-ended:
			assert.NoError(t, err)
			return
		default:
			l.assertRan(t, 1)
		}
	}
}

func (l *traffic) stop() {
	close(l.done)
	l.active.Wait()
}

// Guards against a planned stop under load that cuts off a request in flight or does not end (P7).
func TestPlannedStop(t *testing.T) {
	w := newWorld(t)
	b1, b2 := w.beside("w1"), w.beside("w2")
	first := newSite(t, w, []fleet.Endpoint{b1.endpoint, b2.endpoint}, entry.WithRetries(100, 3, 0))
	second := newEntry(t, w, first.ledger, entry.WithRetries(100, 3, 0))
	l := newTraffic(first, second)
	defer l.stop()
	l.assertRan(t, batch)
	t.Run("agent, of which the entries are not told", func(t *testing.T) {
		served := b1.standin.Served()
		assert.NotZero(t, served)
		b1.stop()
		l.assertRanUntil(t, b1.ended)
		l.assertRan(t, batch)
	})
	t.Run("entry", func(t *testing.T) {
		first.stop()
		l.assertRanUntil(t, first.ended)
		l.assertRan(t, batch)
	})
	assertIdle(t, first)
}
