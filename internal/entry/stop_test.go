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
	// slowClients is the number of clients whose requests are still in flight after a stopping process has told its
	// peers that it is leaving.
	slowClients = 2
	// repliesPerStep is the number of replies to wait for between two steps of a test.
	repliesPerStep = 200
)

// agentProcess is a real agent that reaches no control host, with a stand-in for its endpoint.
type agentProcess struct {
	endpoint fleet.Endpoint
	standin  *standin.Standin
	url      string
	stop     context.CancelFunc
	ended    chan error
}

// startAgent starts an agent with a stand-in endpoint of 8 slots and waits until the agent finds the endpoint ready.
func (te *testEnv) startAgent(name string) *agentProcess {
	te.t.Helper()
	l, err := net.Listen("tcp", loopback)
	require.NoError(te.t, err)
	p := &agentProcess{standin: standin.New(name, 8), ended: make(chan error, 1)}
	go func() { _ = p.standin.Run(te.ctx, l) }()
	m := te.keysFor("agent", name)
	server, err := link.Listen(loopback, m.Server())
	require.NoError(te.t, err)
	worker, url := fleet.NewWorker(name, "r1", "az1", "rack1"), "http://"+l.Addr().String()
	a := agent.New(agent.WithTLS(m.Client("control")), agent.WithServer(server, server.Address().String()),
		agent.WithControl([]string{"127.0.0.1:9"}), agent.WithWorker(worker, url), agent.WithEndpoint(url, 64, 64),
		agent.WithGrace(testTimeout))
	p.url = url
	p.endpoint = fleet.NewEndpoint(worker, server.Address().String(), 64, 64, a.Incarnation())
	ctx, stop := context.WithCancel(te.ctx)
	p.stop = stop
	go func() {
		p.ended <- a.Run(ctx)
		close(p.ended)
	}()
	te.t.Cleanup(func() {
		stop()
		for range p.ended {
		}
	})
	requirePublished(te.t, a.Board().ProbedState(), func(s fleet.EndpointState) bool { return s == fleet.Ready })
	return p
}

// traffic is load from clients that have one connection each.
type traffic struct {
	replies chan reply
	errors  chan error
	done    chan struct{}
	active  sync.WaitGroup
}

// newTraffic starts clients that send requests until stop is called. A client that is asked to close its connection
// continues at the next entry, as behind a load balancer.
func newTraffic(entries ...*testEntry) *traffic {
	tr := &traffic{replies: make(chan reply), errors: make(chan error, clients), done: make(chan struct{})}
	for c := range clients {
		tr.active.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			at := c
			for n := 0; ; n++ {
				r, closing, err := exchange(&http.Client{Transport: transport}, entries[at%len(entries)].url, c, n)
				if err != nil {
					tr.errors <- err
					return
				}
				if closing {
					at++
				}
				select {
				case tr.replies <- r:
				case <-tr.done:
					return
				}
			}
		})
	}
	return tr
}

func exchange(client *http.Client, url string, caller, n int) (r reply, closing bool, err error) {
	method := http.MethodGet
	if n%2 == 0 {
		method = http.MethodPost
	}
	path := "/w/previews/a?ms=5"
	if caller < slowClients {
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
	r, err = readReply(answer)
	return r, answer.Close, err
}

// assertRan checks the next n replies: each request ran and no connection was lost.
func (tr *traffic) assertRan(t *testing.T, n int) {
	t.Helper()
	for range n {
		select {
		case r := <-tr.replies:
			assert.Equal(t, outcome.Ran, r.outcome, r.body)
		case err := <-tr.errors:
			require.NoError(t, err)
		}
	}
}

// assertRanUntil checks replies until a process reports its end on ended.
func (tr *traffic) assertRanUntil(t *testing.T, ended <-chan error) {
	t.Helper()
	for {
		select {
		case err := <-ended:
			assert.NoError(t, err)
			return
		default:
			tr.assertRan(t, 1)
		}
	}
}

func (tr *traffic) stop() {
	close(tr.done)
	tr.active.Wait()
}

// Guards against a planned stop under load that loses a request in flight or does not end (P7).
func TestPlannedStop(t *testing.T) {
	env := newTestEnv(t)
	a1, a2 := env.startAgent("w1"), env.startAgent("w2")
	first := newEntryWithLeader(t, env, []fleet.Endpoint{a1.endpoint, a2.endpoint}, entry.WithRetries(100, 3, 0))
	second := newEntry(t, env, first.leader, entry.WithRetries(100, 3, 0))
	tr := newTraffic(first, second)
	defer tr.stop()
	tr.assertRan(t, repliesPerStep)
	t.Run("an agent stops and the entries get no update", func(t *testing.T) {
		served := a1.standin.Served()
		assert.NotZero(t, served)
		a1.stop()
		tr.assertRanUntil(t, a1.ended)
		tr.assertRan(t, repliesPerStep)
	})
	t.Run("entry", func(t *testing.T) {
		first.stop()
		tr.assertRanUntil(t, first.ended)
		tr.assertRan(t, repliesPerStep)
	})
	assertIdle(t, first)
}
