package entry_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
)

// Guards against clients that keep others out with bodies that they announce and do not send, or begin and do not end.
func TestUnfinishedBodies(t *testing.T) {
	const bodyLimit, clients = 64 << 10, 64
	for name, c := range map[string]struct{ headers, body string }{
		"announced":        {"Content-Length: 65536", ""},
		"begun":            {"Content-Length: 65536", strings.Repeat("x", bodyLimit-1)},
		"begun and chunks": {"Transfer-Encoding: chunked", "fff0\r\n" + strings.Repeat("x", 0xfff0) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, echo)}, entry.WithBodyLimits(bodyLimit, 4*bodyLimit))
			for range clients {
				send(t, dial(t, te), http.MethodPost, c.headers, c.body)
			}
			assertRan(t, requireCall(t, te, http.MethodPost, "/w/previews/a", "whole"), "whole")
		})
	}
}

// Guards against clients whose open connections keep others out.
func TestSilentConnections(t *testing.T) {
	env := newTestEnv(t)
	te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, echo)}, entry.WithConnectionLimit(16))
	var silent []net.Conn
	for range 64 {
		silent = append(silent, dial(t, te))
	}
	assertRan(t, requireCall(t, te, http.MethodPost, "/w/previews/a", "whole"), "whole")
	_, err := silent[0].Read(make([]byte, 1))
	require.Error(t, err, "the oldest idle connection is open")
}
