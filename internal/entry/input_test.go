package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Guards against bad input that gets no clear error, is not logged, keeps resources reserved or blocks other callers.
func TestBadInput(t *testing.T) {
	env := newTestEnv(t)
	te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, echo)}, entry.WithBodyLimits(1<<10, 4<<10),
		entry.WithHeaderLimit(4<<10), entry.WithReadTimeouts(200*time.Millisecond, 300*time.Millisecond))
	healthy := func(t *testing.T) {
		t.Helper()
		assertRan(t, requireCall(t, te, http.MethodPost, "/w/previews/a", "whole"), "whole")
		assertIdle(t, te)
	}
	t.Run("oversized body", func(t *testing.T) {
		r := requireCall(t, te, http.MethodPost, "/w/previews/a", strings.Repeat("x", 2<<10))
		assertRefused(t, r, http.StatusRequestEntityTooLarge, outcome.TooLarge)
		requireLogged(t, te.log, string(outcome.TooLarge))
		healthy(t)
	})
	t.Run("oversized body of unknown length", func(t *testing.T) {
		r := requireRaw(t, te, "POST", "Transfer-Encoding: chunked",
			fmt.Sprintf("800\r\n%s\r\n0\r\n\r\n", strings.Repeat("x", 2<<10)))
		assertRefused(t, r, http.StatusRequestEntityTooLarge, outcome.TooLarge)
		healthy(t)
	})
	t.Run("truncated body", func(t *testing.T) {
		c := dial(t, te)
		send(t, c, "POST", "Content-Length: 10", "short")
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		assertRefused(t, receive(t, c), http.StatusBadRequest, outcome.BadRequest)
		requireLogged(t, te.log, "not whole")
		healthy(t)
	})
	t.Run("slow body", func(t *testing.T) {
		assertRefused(t, requireRaw(t, te, "POST", "Content-Length: 10", "slow"), http.StatusBadRequest, outcome.BadRequest)
		healthy(t)
	})
	t.Run("slow body past the deadline", func(t *testing.T) {
		r := requireRaw(t, te, "POST", "Content-Length: 10\r\nRosemarywind-Deadline-Ms: 50", "slow")
		assertRefused(t, r, http.StatusGatewayTimeout, outcome.DeadlineExceeded)
		healthy(t)
	})
	t.Run("slow body of a refused request", func(t *testing.T) {
		r := requireRaw(t, te, "POST", "Content-Length: 10\r\nRosemarywind-Urgency: never", "slow")
		assertRefused(t, r, http.StatusBadRequest, outcome.BadRequest)
		healthy(t)
	})
	t.Run("slow headers", func(t *testing.T) {
		c := dial(t, te)
		_, err := c.Write([]byte("GET /w/previews/a HTTP/1.1\r\nHost: x\r\n"))
		require.NoError(t, err)
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		requireLogged(t, te.log, "connection ended before a request")
		healthy(t)
	})
	t.Run("header flood", func(t *testing.T) {
		c := dial(t, te)
		go send(t, c, "GET", strings.Repeat("X-Flood: "+strings.Repeat("x", 100)+"\r\n", 200)+"X: y", "")
		assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, receive(t, c).status)
		requireLogged(t, te.log, "connection ended before a request")
		healthy(t)
	})
	t.Run("unknown workspace", func(t *testing.T) {
		r := requireCall(t, te, http.MethodGet, "/w/nobody/a", "")
		assertRefused(t, r, http.StatusNotFound, outcome.UnknownWorkspace)
		requireLogged(t, te.log, string(outcome.UnknownWorkspace))
	})
	t.Run("bad token", func(t *testing.T) {
		r := requireRaw(t, te, "GET", "Authorization: Bearer other", "")
		assertRefused(t, r, http.StatusUnauthorized, outcome.Unauthorized)
		requireLogged(t, te.log, string(outcome.Unauthorized))
		assert.False(t, te.log.contains("Bearer other"))
	})
	for _, bad := range []string{
		"Rosemarywind-Urgency: soon", "Rosemarywind-Idempotent: perhaps", "Rosemarywind-Deadline-Ms: -1",
		"Rosemarywind-Deadline-Ms: 1e3", "Idempotency-Key: " + strings.Repeat("k", 256),
		"Idempotency-Key: a\r\nIdempotency-Key: b", "Rosemarywind-Idempotent: yes\r\nRosemarywind-Idempotent: no",
	} {
		t.Run(bad[:min(len(bad), 40)], func(t *testing.T) {
			assertRefused(t, requireRaw(t, te, "GET", bad, ""), http.StatusBadRequest, outcome.BadRequest)
		})
	}
	t.Run("a path outside all workspaces", func(t *testing.T) {
		assertRefused(t, requireCall(t, te, http.MethodGet, "/x", ""), http.StatusBadRequest, outcome.BadRequest)
		healthy(t)
	})
}

// Guards against an entry that refuses requests as for an unknown workspace before it has received a configuration.
func TestBeforeConfiguration(t *testing.T) {
	env := newTestEnv(t)
	fl := newFakeLeader(env, fleet.Update{})
	fl.address = "127.0.0.1:9"
	te := newEntry(t, env, fl)
	assertRefused(t, requireCall(t, te, http.MethodGet, "/w/previews/a", ""),
		http.StatusServiceUnavailable, outcome.ControlUnavailable)
}

func dial(t testing.TB, te *testEntry) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(te.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

// send writes a request with raw headers, without the final line break, and a raw body.
func send(t testing.TB, c net.Conn, method, headers, body string) {
	t.Helper()
	if !strings.Contains(headers, "Authorization") {
		headers += "\r\nAuthorization: Bearer " + token
	}
	_, _ = fmt.Fprintf(c, "%s /w/previews/a HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n%s", method, headers, body)
}

func receive(t testing.TB, c net.Conn) reply {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	r, err := readReply(answer)
	require.NoError(t, err)
	return r
}

// requireRaw sends a request as send does and returns the reply, which must arrive within two seconds.
func requireRaw(t testing.TB, te *testEntry, method, headers, body string) reply {
	t.Helper()
	c := dial(t, te)
	require.NoError(t, c.SetDeadline(time.Now().Add(2*time.Second)))
	send(t, c, method, headers, body)
	return receive(t, c)
}
