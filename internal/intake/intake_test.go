package intake_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/intake"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

const (
	testTimeout = 10 * time.Second
	// bodyLimit is the largest body that the server of these tests reads.
	bodyLimit = 64 << 10
	// panicPath is the path of requests whose handler panics.
	panicPath = "/panic"
	// largePath is the path of requests whose answer has largeAnswerBytes.
	largePath        = "/large"
	largeAnswerBytes = 16 << 20
)

// server is an HTTP server behind a Limiter that answers with the length of the body.
type server struct {
	t        *testing.T
	address  string
	registry *telemetry.Registry
	calls    chan int // lengths of the bodies that the handler has read
}

func newServer(t *testing.T, limits intake.Limits) *server {
	t.Helper()
	s := &server{t: t, registry: telemetry.NewRegistry(), calls: make(chan int, 100)}
	limiter := intake.NewLimiter(limits, s.registry, hclog.NewNullLogger(), time.Now)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = inner.Addr().String()
	h := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: testTimeout}
	limiter.Prepare(h)
	go func() { _ = h.Serve(limiter.Listen(inner, 1)) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	data, err := intake.ReadBody(w, r, bodyLimit)
	if refusal := intake.RefusalOf(err); refusal != nil {
		refusal.Write(w)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == panicPath {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == largePath {
		_, _ = w.Write(make([]byte, largeAnswerBytes))
		return
	}
	s.calls <- len(data)
	_, _ = fmt.Fprint(w, len(data))
}

// client is a connection to a server.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	require.NoError(s.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &client{Conn: c, t: s.t, reader: bufio.NewReader(c)}
}

// send writes text; the server may close the connection meanwhile.
func (c *client) send(text string) { _, _ = io.WriteString(c.Conn, text) }

// assertStatus checks the status of the next answer, and whether the connection ends with it.
func (c *client) assertStatus(want int, closes bool) {
	c.t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	_, _ = io.Copy(io.Discard, r.Body)
	assert.Equal(c.t, want, r.StatusCode)
	assert.Equal(c.t, closes, r.Close)
	if want == http.StatusServiceUnavailable {
		assert.Equal(c.t, "1", r.Header.Get("Retry-After"))
	}
}

// post returns a request with a body of the given length, of which only a part is there.
func post(length, part int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", part))
}

// metric returns the value of a metric.
func (s *server) metric(name string) (value string) {
	var text bytes.Buffer
	w := &recorder{Buffer: &text}
	telemetry.TextHandler(s.registry).ServeHTTP(w, nil)
	for line := range strings.Lines(text.String()) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			value = strings.TrimSpace(rest)
		}
	}
	return value
}

// heldBytes returns how many bytes are held for clients.
func (s *server) heldBytes() int {
	n, err := strconv.Atoi(s.metric("intake_held_bytes"))
	require.NoError(s.t, err)
	return n
}

// recorder is the part of a http.ResponseWriter that the metrics need.
type recorder struct{ *bytes.Buffer }

func (*recorder) Header() http.Header { return http.Header{} }
func (*recorder) WriteHeader(int)     {}

// assertReleased checks that nothing is held once all clients have left.
func (s *server) assertReleased() {
	s.t.Helper()
	assert.Eventually(s.t, func() bool {
		return s.metric("intake_held_bytes") == "0" && s.metric("intake_connections") == "0"
	}, testTimeout, 5*time.Millisecond, "%s bytes, %s connections", s.metric("intake_held_bytes"), s.metric("intake_connections"))
}

func ordinaryLimits() intake.Limits { return intake.NewLimits(64<<20, 1000, 0.25) }

// Guards against a request inside the limits that is not served, and against what it held that is not returned.
func TestOrdinaryRequests(t *testing.T) {
	for name, text := range map[string]string{
		"no body":      "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"small":        post(10, 10),
		"largest":      post(bodyLimit, bodyLimit),
		"large head":   "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n",
		"chunks":       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n",
		"many headers": "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: y\r\n", 1000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, ordinaryLimits())
			c := s.dial()
			for range 3 {
				c.send(text)
				c.assertStatus(http.StatusOK, false)
			}
			_ = c.Close()
			s.assertReleased()
		})
	}
}

// Guards against a refusal with a status that says something else, and against a body that is handed on after it.
func TestRefusals(t *testing.T) {
	slow := ordinaryLimits().WithPace(intake.NewPace(100, 100*time.Millisecond, time.Second))
	for name, c := range map[string]struct {
		limits intake.Limits
		text   string
		want   int
		reason intake.Reason
	}{
		"large head":               {ordinaryLimits(), "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 21<<10), http.StatusRequestHeaderFieldsTooLarge, intake.HeadTooLarge},
		"head without end":         {ordinaryLimits(), "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: y\r\n", 5000), http.StatusRequestHeaderFieldsTooLarge, intake.HeadTooLarge},
		"large body":               {ordinaryLimits(), post(bodyLimit+1, 0), http.StatusRequestEntityTooLarge, intake.BodyTooLarge},
		"large chunked body":       {ordinaryLimits(), "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", 0x10001), http.StatusRequestEntityTooLarge, intake.BodyTooLarge},
		"body that stands still":   {slow, post(1000, 500), http.StatusRequestTimeout, intake.BodyTooSlow},
		"body that does not begin": {slow, post(1000, 0), http.StatusRequestTimeout, intake.BodyTooSlow},
		"body beyond the budget":   {ordinaryLimits().WithBudget(32 << 10), post(bodyLimit, bodyLimit), http.StatusServiceUnavailable, intake.BudgetSpent},
		"head beyond the budget":   {ordinaryLimits().WithBudget(1 << 10), "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 4000), http.StatusServiceUnavailable, intake.BudgetSpent},
		"body of a deletion":       {slow, "DELETE / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n", http.StatusRequestTimeout, intake.BodyTooSlow},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, c.limits)
			client := s.dial()
			client.send(c.text)
			client.assertStatus(c.want, true)
			assert.Empty(t, s.calls)
			assert.Equal(t, "1", s.metric("intake_refused_"+string(c.reason)))
			_ = client.Close()
			s.assertReleased()
		})
	}
}

// Guards against clients that keep connections for as long as they like, since they do not read their answers.
func TestUnreadAnswers(t *testing.T) {
	const limit = 8
	pace := intake.NewPace(100, 100*time.Millisecond, time.Second)
	s := newServer(t, ordinaryLimits().WithConnections(limit).WithPace(pace))
	for range limit {
		c := s.dial()
		go c.send(strings.Repeat(strings.Replace(post(0, 0), "/", largePath, 1), 10))
	}
	assert.Eventually(t, func() bool { return s.metric("intake_refused_answer_unread") >= "1" }, testTimeout, 5*time.Millisecond)
	assert.Eventually(t, func() bool {
		c := s.dial()
		defer func() { _ = c.Close() }()
		c.send(post(1, 1))
		r, err := http.ReadResponse(c.reader, nil)
		return err == nil && r.StatusCode == http.StatusOK
	}, testTimeout, 5*time.Millisecond)
}

// Guards against an answer that is cut although its client reads it, slower than the server writes.
func TestSlowlyReadAnswer(t *testing.T) {
	pace := intake.NewPace(100, 300*time.Millisecond, time.Minute)
	s := newServer(t, ordinaryLimits().WithPace(pace))
	c := s.dial()
	c.send(strings.Replace(post(0, 0), "/", largePath, 1))
	r, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	read, piece := 0, make([]byte, largeAnswerBytes/100)
	for err == nil {
		var n int
		n, err = io.ReadFull(r.Body, piece)
		read += n
		<-time.After(10 * time.Millisecond)
	}
	assert.Equal(t, largeAnswerBytes, read)
	assert.Equal(t, "0", s.metric("intake_refused_answer_unread"))
}

// Guards against an idle connection that keeps a new one out, and against a connection that is closed while its request
// is served.
func TestConnectionLimit(t *testing.T) {
	const limit = 8
	s := newServer(t, ordinaryLimits().WithConnections(limit))
	first := s.dial()
	first.send(post(1, 1))
	first.assertStatus(http.StatusOK, false)
	for range 2 * limit {
		c := s.dial()
		c.send(post(1, 1))
		c.assertStatus(http.StatusOK, false)
	}
	_, err := first.reader.ReadByte()
	assert.Error(t, err, "the oldest connection is still open")
	// A connection that has given way is counted until its server notices.
	assert.Eventually(t, func() bool { return s.metric("intake_connections") == "7" }, testTimeout, time.Millisecond, "the part of one address")
}

// Guards against a connection whose request arrives and that is closed without an answer in favor of a new one.
func TestArrivingRequests(t *testing.T) {
	const limit = 8
	s := newServer(t, ordinaryLimits().WithConnections(limit))
	arriving := make([]*client, limit-1) // the part of one address
	for i := range arriving {
		before := s.heldBytes()
		arriving[i] = s.dial()
		arriving[i].send("GET / HTTP/1.1\r\nHost: a\r\n")
		require.Eventually(t, func() bool { return s.heldBytes() > before }, testTimeout, time.Millisecond)
	}
	for range limit {
		s.dial().send(post(1, 1))
	}
	for _, c := range arriving {
		c.send("\r\n")
		r, err := http.ReadResponse(c.reader, nil)
		if assert.NoError(t, err, "closed without an answer") {
			assert.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, r.StatusCode)
		}
	}
}

// Guards against requests that arrive behind others and are charged to nobody until the server reads them.
func TestSecondRequests(t *testing.T) {
	const lines = 500
	second := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A:\r\n", lines)
	for name, first := range map[string]string{
		"no body": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"body":    post(100, 100),
		"chunks":  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, ordinaryLimits())
			c := s.dial()
			c.send(first + second)
			c.assertStatus(http.StatusOK, false)
			assert.Eventually(t, func() bool { return s.heldBytes() >= 64*lines }, testTimeout, time.Millisecond, "%d bytes are held", s.heldBytes())
			c.send("\r\n")
			c.assertStatus(http.StatusOK, false)
			assert.Eventually(t, func() bool { return s.metric("intake_held_bytes") == "0" }, testTimeout, time.Millisecond)
			_ = c.Close()
			s.assertReleased()
		})
	}
	for name, end := range map[string]string{"whole": "\r\n", "unfinished": ""} {
		t.Run(name+" beyond the budget", func(t *testing.T) {
			s := newServer(t, ordinaryLimits().WithBudget(64<<10))
			c := s.dial()
			c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n" + second + end)
			c.assertStatus(http.StatusOK, false)
			c.assertStatus(http.StatusServiceUnavailable, true)
			assert.Len(t, s.calls, 1)
			assert.Equal(t, "1", s.metric("intake_refused_budget_spent"))
		})
	}
}

// Guards against a request that keeps what it holds because its handler panics, or because its client leaves early.
func TestReleased(t *testing.T) {
	for name, text := range map[string]string{
		"panic":           strings.Replace(post(10_000, 10_000), "/", panicPath, 1),
		"unfinished body": post(10_000, 5000),
		"unfinished head": "GET / HTTP/1.1\r\nHost: a\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, ordinaryLimits())
			c := s.dial()
			c.send(text)
			assert.Eventually(t, func() bool { return s.metric("intake_connections") != "0" || name == "panic" }, testTimeout, time.Millisecond)
			require.NoError(t, c.Close())
			s.assertReleased()
		})
	}
}
