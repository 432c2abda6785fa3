package agent_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/agent"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/impair"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Guards against input between processes that is acted on, hangs, or leaves the sender without a clear answer.
func TestBadStreams(t *testing.T) {
	var calls atomic.Int64
	s := newSite(t, endpoint(t, func(_ http.ResponseWriter, _ *http.Request) { calls.Add(1) }), agent.WithBodyLimit(1<<10))
	s.requireState(t, fleet.Ready)
	t.Run("wrong protocol version", func(t *testing.T) {
		stream := s.open(t, s.pool)
		raw(t, stream, map[int]any{1: wire.Version + 1, 2: wire.KindForward})
		assertNotServed(t, s, stream, fmt.Sprintf("protocol version %d is not supported", wire.Version+1))
	})
	t.Run("wrong kind of stream", func(t *testing.T) {
		stream := s.open(t, s.pool)
		raw(t, stream, map[int]any{1: wire.Version, 2: wire.KindWatch})
		assertNotServed(t, s, stream, `"kind":"watch"`)
	})
	t.Run("unknown kind of stream", func(t *testing.T) {
		stream := s.open(t, s.pool)
		raw(t, stream, map[int]any{1: wire.Version, 2: "rumour"})
		assertNotServed(t, s, stream, "rumour")
	})
	t.Run("request from a process that is no entry", func(t *testing.T) {
		stream := s.open(t, s.dialer(t, "agent", "w2"))
		raw(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward})
		assertNotServed(t, s, stream, "agent/w2")
	})
	t.Run("orders from a process that is no control host", func(t *testing.T) {
		stream := s.open(t, s.dialer(t, "entry", "e2"))
		raw(t, stream, map[int]any{1: wire.Version, 2: wire.KindOrders})
		assertNotServed(t, s, stream, "entry/e2")
	})
	t.Run("frame larger than the limit", func(t *testing.T) {
		stream := s.open(t, s.pool)
		raw(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward})
		_, err := stream.Write([]byte{0x7f, 0, 0, 0})
		require.NoError(t, err)
		assertNotServed(t, s, stream, "exceeds the limit")
	})
	t.Run("header that is not CBOR", func(t *testing.T) {
		stream := s.open(t, s.pool)
		raw(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward}, "no map")
		assertNotServed(t, s, stream, "read request")
	})
	t.Run("wrong body digest", func(t *testing.T) {
		stream := s.open(t, s.pool)
		raw(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward}, map[int]any{
			1: "r1", 3: http.MethodPost, 4: "/a", 8: int64(patience), 9: s.agent.Incarnation(), 10: 4, 11: 7,
		})
		_, err := stream.Write([]byte("body"))
		require.NoError(t, err)
		assertRefused(t, requireAnswer(t, stream, "r1"), outcome.BadRequest)
		requireLogged(t, s.log, "body digest")
	})
	t.Run("truncated body", func(t *testing.T) {
		stream := s.open(t, s.pool)
		raw(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward}, map[int]any{
			1: "r1", 3: http.MethodPost, 4: "/a", 8: int64(patience), 9: s.agent.Incarnation(), 10: 4, 11: 7,
		})
		stream.CloseWrite()
		assertRefused(t, requireAnswer(t, stream, "r1"), outcome.BadRequest)
	})
	t.Run("oversized body", func(t *testing.T) {
		assertRefused(t, s.call(t, post(strings.Repeat("x", 2<<10))), outcome.TooLarge)
	})
	t.Run("target that leaves the endpoint", func(t *testing.T) {
		r := request.New("r1", "previews", http.MethodPost, "@127.0.0.1:1/", request.WithDeadline(time.Now().Add(patience)))
		assertRefused(t, s.call(t, r), outcome.BadRequest)
	})
	t.Run("another process under this identity", func(t *testing.T) {
		stream := s.open(t, s.pool)
		require.NoError(t, wire.WriteForward(stream, "", wire.NewForward(post("x"), s.agent.Incarnation()+1), time.Now()))
		assertRefused(t, requireAnswer(t, stream, "r1"), outcome.StaleIncarnation)
	})
	t.Run("garbage on the UDP port", func(t *testing.T) {
		c, err := net.Dial("udp", s.server.Address().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		for n := range 1400 {
			_, _ = c.Write([]byte(strings.Repeat(string(rune(n%256)), n)))
		}
	})
	assert.Zero(t, calls.Load())
	assertAnswered(t, s.call(t, post("x")), "")
	assert.Zero(t, s.agent.Board().InFlight())
}

// Guards against bodies that are read into memory before the request has a slot.
func TestSlotBeforeBody(t *testing.T) {
	entered, held := make(chan struct{}), make(chan struct{})
	url := endpoint(t, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-held
	})
	s := newSite(t, url, agent.WithEndpoint(url, 1, 64))
	s.requireState(t, fleet.Ready)
	first := s.send(t, post("x"))
	requireReceive(t, entered)
	stream := s.open(t, s.pool)
	raw(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward}, map[int]any{
		1: "r2", 3: http.MethodPost, 4: "/a", 8: int64(patience), 9: s.agent.Incarnation(), 10: 1 << 20, 11: 7,
	})
	assertRefused(t, requireAnswer(t, stream, "r2"), outcome.NoSlot)
	close(held)
	assertAnswered(t, requireAnswer(t, first, "r1"), "")
}

// Guards against answers of the endpoint that are passed on although they are not whole or not HTTP.
func TestEndpointAnswers(t *testing.T) {
	s := newSite(t, endpoint(t, func(w http.ResponseWriter, h *http.Request) {
		c, _, _ := http.NewResponseController(w).Hijack()
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, h.Header.Get("Raw"))
	}))
	s.requireState(t, fleet.Ready)
	answer := func(text string) request.Result {
		return s.call(t, post("x", request.WithBody(request.Headers{"Raw": {text}}, nil)))
	}
	t.Run("nothing", func(t *testing.T) { assertLost(t, answer(""), outcome.ConnectionLost) })
	t.Run("no HTTP", func(t *testing.T) { assertLost(t, answer("hello"), outcome.ConnectionLost) })
	t.Run("status 000", func(t *testing.T) { assertLost(t, s.raw(t, "000"), outcome.AnswerTruncated) })
	t.Run("switched protocol", func(t *testing.T) { assertLost(t, s.raw(t, "101"), outcome.AnswerTruncated) })
}

// raw asks an endpoint that answers with the given status line.
func (s *site) raw(t *testing.T, status string) request.Result {
	t.Helper()
	l, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go serveRaw(l, "HTTP/1.1 "+status+" x\r\nContent-Length: 0\r\n\r\n")
	o := newSite(t, "http://"+l.Addr().String(), agent.WithProbe(time.Hour, time.Second))
	o.requireState(t, fleet.Ready)
	return o.call(t, post("x"))
}

// serveRaw answers each probe as HTTP and anything else with the given bytes.
func serveRaw(l net.Listener, text string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		h, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil && h.URL.Path == "/health" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		} else if err == nil {
			_, _ = io.WriteString(c, text)
		}
		_ = c.Close()
	}
}

// Guards against net/http, which sends a request with an Idempotency-Key again on its own when a connection that it
// kept open is closed by the endpoint and the body can be rewound.
func TestNoResend(t *testing.T) {
	var runs atomic.Int64
	url := endpoint(t, func(w http.ResponseWriter, h *http.Request) {
		if h.Method == http.MethodGet {
			return // leaves an open connection behind
		}
		runs.Add(1)
		c, _, _ := http.NewResponseController(w).Hijack()
		_ = c.Close()
	})
	s := newSite(t, url)
	s.requireState(t, fleet.Ready)
	headers := request.Headers{"Idempotency-Key": {"order-1"}}
	for name, body := range map[string]string{"with a body": "two hundred tapes", "without a body": ""} {
		t.Run(name, func(t *testing.T) {
			runs.Store(0)
			get := request.New("r1", "previews", http.MethodGet, "/a", request.WithDeadline(time.Now().Add(patience)))
			assertAnswered(t, s.call(t, get), "")
			assertLost(t, s.call(t, post("", request.WithBody(headers, []byte(body)))), outcome.ConnectionLost)
			assert.EqualValues(t, 1, runs.Load())
		})
	}
}

// Guards against a request that runs on after its caller hung up.
func TestCancel(t *testing.T) {
	entered, left := make(chan struct{}), make(chan struct{})
	s := newSite(t, endpoint(t, func(_ http.ResponseWriter, h *http.Request) {
		_, _ = io.ReadAll(h.Body)
		close(entered)
		<-h.Context().Done()
		close(left)
	}))
	s.requireState(t, fleet.Ready)
	stream := s.send(t, post("x"))
	requireReceive(t, entered)
	stream.Cancel()
	requireReceive(t, left)
}

// Guards against a planned stop that cuts off an answer, also one whose datagrams are lost and sent again.
func TestStop(t *testing.T) {
	entered, held := make(chan struct{}), make(chan struct{})
	s := newSite(t, endpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-held
		_, _ = io.WriteString(w, "woven")
	}))
	s.requireState(t, fleet.Ready)
	between, err := impair.NewRelay(s.server.Address().String())
	require.NoError(t, err)
	t.Cleanup(between.Close)
	stream := s.openAt(t, s.pool, between.Address())
	s.write(t, stream, post("x"))
	requireReceive(t, entered)
	s.stop()
	requireSection(t, s.agent.Board().Stopping(), func(b bool) bool { return b })
	assertRefused(t, s.call(t, post("y")), outcome.Leaving)
	requireLogged(t, s.log, "waiting for requests in flight")
	between.LoseAnswers(3)
	close(held)
	assertAnswered(t, requireAnswer(t, stream, "r1"), "woven")
	stream.Cancel()
	assert.NoError(t, requireReceive(t, s.ended))
}
