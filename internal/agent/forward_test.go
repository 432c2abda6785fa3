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

// Guards against invalid streams that the agent acts on, that hang, or that end without a clear answer to the sender.
func TestBadStreams(t *testing.T) {
	var calls atomic.Int64
	s := newFixture(t, endpoint(t, func(_ http.ResponseWriter, _ *http.Request) { calls.Add(1) }), agent.WithBodyLimit(1<<10))
	s.requireState(t, fleet.Ready)
	t.Run("wrong protocol version", func(t *testing.T) {
		stream := s.open(t, s.pool)
		writeFrames(t, stream, map[int]any{1: wire.Version + 1, 2: wire.KindForward})
		assertNotServed(t, s, stream, fmt.Sprintf("protocol version %d is not supported", wire.Version+1))
	})
	t.Run("wrong kind of stream", func(t *testing.T) {
		stream := s.open(t, s.pool)
		writeFrames(t, stream, map[int]any{1: wire.Version, 2: wire.KindWatch})
		assertNotServed(t, s, stream, `"kind":"watch"`)
	})
	t.Run("unknown kind of stream", func(t *testing.T) {
		stream := s.open(t, s.pool)
		writeFrames(t, stream, map[int]any{1: wire.Version, 2: "no-such-kind"})
		assertNotServed(t, s, stream, "no-such-kind")
	})
	t.Run("request from a process that is not an entry", func(t *testing.T) {
		stream := s.open(t, s.dialer(t, "agent", "w2"))
		writeFrames(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward})
		assertNotServed(t, s, stream, "agent/w2")
	})
	t.Run("orders from a process that is not a control host", func(t *testing.T) {
		stream := s.open(t, s.dialer(t, "entry", "e2"))
		writeFrames(t, stream, map[int]any{1: wire.Version, 2: wire.KindOrders})
		assertNotServed(t, s, stream, "entry/e2")
	})
	t.Run("frame larger than the limit", func(t *testing.T) {
		stream := s.open(t, s.pool)
		writeFrames(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward})
		_, err := stream.Write([]byte{0x7f, 0, 0, 0})
		require.NoError(t, err)
		assertNotServed(t, s, stream, "exceeds the limit")
	})
	t.Run("header that is not CBOR", func(t *testing.T) {
		stream := s.open(t, s.pool)
		writeFrames(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward}, "no map")
		assertNotServed(t, s, stream, "read request")
	})
	t.Run("wrong body digest", func(t *testing.T) {
		stream := s.open(t, s.pool)
		writeFrames(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward}, map[int]any{
			1: "r1", 3: http.MethodPost, 4: "/a", 8: int64(testTimeout), 9: s.agent.Incarnation(), 10: 4, 11: 7,
		})
		_, err := stream.Write([]byte("body"))
		require.NoError(t, err)
		assertRefused(t, requireAnswer(t, stream, "r1"), outcome.BadRequest)
		requireLogged(t, s.log, "body digest")
	})
	t.Run("truncated body", func(t *testing.T) {
		stream := s.open(t, s.pool)
		writeFrames(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward}, map[int]any{
			1: "r1", 3: http.MethodPost, 4: "/a", 8: int64(testTimeout), 9: s.agent.Incarnation(), 10: 4, 11: 7,
		})
		stream.CloseWrite()
		assertRefused(t, requireAnswer(t, stream, "r1"), outcome.BadRequest)
	})
	t.Run("oversized body", func(t *testing.T) {
		assertRefused(t, s.call(t, post(strings.Repeat("x", 2<<10))), outcome.TooLarge)
	})
	t.Run("target on another host", func(t *testing.T) {
		r := request.New("r1", "previews", http.MethodPost, "@127.0.0.1:1/", request.WithDeadline(time.Now().Add(testTimeout)))
		assertRefused(t, s.call(t, r), outcome.BadRequest)
	})
	t.Run("request for another incarnation", func(t *testing.T) {
		stream := s.open(t, s.pool)
		require.NoError(t, wire.WriteForward(stream, "", wire.NewForward(post("x"), s.agent.Incarnation()+1), time.Now()))
		assertRefused(t, requireAnswer(t, stream, "r1"), outcome.StaleIncarnation)
	})
	t.Run("invalid datagrams on the UDP port", func(t *testing.T) {
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

// Guards against a body that is read into memory before the request has a slot.
func TestSlotBeforeBody(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	url := endpoint(t, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	})
	s := newFixture(t, url, agent.WithEndpoint(url, 1, 64))
	s.requireState(t, fleet.Ready)
	first := s.send(t, post("x"))
	requireReceive(t, entered)
	stream := s.open(t, s.pool)
	writeFrames(t, stream, map[int]any{1: wire.Version, 2: wire.KindForward}, map[int]any{
		1: "r2", 3: http.MethodPost, 4: "/a", 8: int64(testTimeout), 9: s.agent.Incarnation(), 10: 1 << 20, 11: 7,
	})
	assertRefused(t, requireAnswer(t, stream, "r2"), outcome.NoSlot)
	close(release)
	assertAnswered(t, requireAnswer(t, first, "r1"), "")
}

// Guards against responses of the endpoint that are passed on although they are truncated or not HTTP.
func TestEndpointAnswers(t *testing.T) {
	s := newFixture(t, endpoint(t, func(w http.ResponseWriter, h *http.Request) {
		c, _, _ := http.NewResponseController(w).Hijack()
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, h.Header.Get("Raw"))
	}))
	s.requireState(t, fleet.Ready)
	answer := func(text string) request.Result {
		return s.call(t, post("x", request.WithBody(request.Headers{"Raw": {text}}, nil)))
	}
	t.Run("empty response", func(t *testing.T) { assertLost(t, answer(""), outcome.ConnectionLost) })
	t.Run("not HTTP", func(t *testing.T) { assertLost(t, answer("hello"), outcome.ConnectionLost) })
	t.Run("status 000", func(t *testing.T) { assertLost(t, s.callStatus(t, "000"), outcome.AnswerTruncated) })
	t.Run("switched protocol", func(t *testing.T) { assertLost(t, s.callStatus(t, "101"), outcome.AnswerTruncated) })
}

// callStatus calls an endpoint that answers with the given status code.
func (s *fixture) callStatus(t *testing.T, status string) request.Result {
	t.Helper()
	l, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go serveRaw(l, "HTTP/1.1 "+status+" x\r\nContent-Length: 0\r\n\r\n")
	o := newFixture(t, "http://"+l.Addr().String(), agent.WithProbe(time.Hour, time.Second))
	o.requireState(t, fleet.Ready)
	return o.call(t, post("x"))
}

// serveRaw answers probes with status 200 and all other requests with the given bytes.
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

// Guards against a request that runs twice: net/http resends a request with an Idempotency-Key by itself when the
// endpoint closes a kept-alive connection and the body can be rewound.
func TestNoResend(t *testing.T) {
	var runs atomic.Int64
	url := endpoint(t, func(w http.ResponseWriter, h *http.Request) {
		if h.Method == http.MethodGet {
			return // keeps the connection open for the next request
		}
		runs.Add(1)
		c, _, _ := http.NewResponseController(w).Hijack()
		_ = c.Close()
	})
	s := newFixture(t, url)
	s.requireState(t, fleet.Ready)
	headers := request.Headers{"Idempotency-Key": {"order-1"}}
	for name, body := range map[string]string{"with a body": "request body", "without a body": ""} {
		t.Run(name, func(t *testing.T) {
			runs.Store(0)
			get := request.New("r1", "previews", http.MethodGet, "/a", request.WithDeadline(time.Now().Add(testTimeout)))
			assertAnswered(t, s.call(t, get), "")
			assertLost(t, s.call(t, post("", request.WithBody(headers, []byte(body)))), outcome.ConnectionLost)
			assert.EqualValues(t, 1, runs.Load())
		})
	}
}

// Guards against a request that keeps running at the endpoint after the entry has cancelled it.
func TestCancel(t *testing.T) {
	entered, cancelled := make(chan struct{}), make(chan struct{})
	s := newFixture(t, endpoint(t, func(_ http.ResponseWriter, h *http.Request) {
		_, _ = io.ReadAll(h.Body)
		close(entered)
		<-h.Context().Done()
		close(cancelled)
	}))
	s.requireState(t, fleet.Ready)
	stream := s.send(t, post("x"))
	requireReceive(t, entered)
	stream.Cancel()
	requireReceive(t, cancelled)
}

// Guards against a planned stop that truncates an answer, also when its datagrams are lost and resent.
func TestStop(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := newFixture(t, endpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "answer")
	}))
	s.requireState(t, fleet.Ready)
	relay, err := impair.NewRelay(s.server.Address().String())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	stream := s.openAt(t, s.pool, relay.Address())
	s.write(t, stream, post("x"))
	requireReceive(t, entered)
	s.stop()
	requireSection(t, s.agent.Board().Stopping(), func(b bool) bool { return b })
	assertRefused(t, s.call(t, post("y")), outcome.Leaving)
	requireLogged(t, s.log, "waiting for requests in flight")
	relay.DropAnswers(3)
	close(release)
	assertAnswered(t, requireAnswer(t, stream, "r1"), "answer")
	stream.Cancel()
	assert.NoError(t, requireReceive(t, s.ended))
}
