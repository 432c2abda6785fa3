package client_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/pkg/client"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const job = `{"id":"j1","workspace":"w","state":"started","members":[{"index":0,"worker":"w1","accelerators":8}],"shape":{"members":1,"accelerators":8,"adjacency":"rack"}}`

// TestFailover guards against a request that stays at a follower or at a host that is down, and against a resend under
// another request id.
func TestFailover(t *testing.T) {
	t.Run("follows the leader", func(t *testing.T) {
		leader := newHost(t, answer(http.StatusOK, job))
		follower := newHost(t, answerMisdirected(leader.url()))
		o := operator(t, follower.url())
		for range 2 {
			j, err := o.Job(t.Context(), "j1")
			require.NoError(t, err)
			assert.Equal(t, "1x8/rack", j.Shape())
			assert.Equal(t, []string{"w1"}, j.Workers())
		}
		assert.Len(t, follower.received(), 1)
	})
	t.Run("resolves a leader named as IP:port", func(t *testing.T) {
		leader, other := newHost(t, answer(http.StatusOK, job)), newHost(t, answer(http.StatusOK, job))
		follower := newHost(t, answerMisdirected(strings.TrimPrefix(leader.url(), "http://")))
		_, err := operator(t, follower.url(), other.url(), leader.url()).Job(t.Context(), "j1")
		require.NoError(t, err)
		assert.Empty(t, other.received())
	})
	t.Run("resolves a leader named with the port of another protocol", func(t *testing.T) {
		leader := newHost(t, answer(http.StatusOK, job))
		follower := newHost(t, answerMisdirected("127.0.0.1:1"))
		_, err := operator(t, follower.url(), leader.url()).Job(t.Context(), "j1")
		require.NoError(t, err)
	})
	t.Run("sends no token to an unknown address", func(t *testing.T) {
		unknown := newHost(t, answer(http.StatusOK, job))
		a, b := newHost(t, answerMisdirected(strings.TrimPrefix(unknown.url(), "http://"))), newHost(t, answerMisdirected(""))
		_, err := operator(t, a.url(), b.url()).Job(t.Context(), "j1")
		assertFailure[*client.Refusal](t, err)
		assert.Empty(t, unknown.received())
	})
	t.Run("waits for a leader", func(t *testing.T) {
		h := newHost(t, answerMisdirected(""), answer(http.StatusServiceUnavailable, `{"reason":"control-unavailable"}`), answer(http.StatusOK, job))
		_, err := operator(t, h.url()).Job(t.Context(), "j1")
		require.NoError(t, err)
	})
	t.Run("skips a host that is down", func(t *testing.T) {
		h := newHost(t, answer(http.StatusOK, job))
		_, err := operator(t, unusedAddress(t), h.url()).Job(t.Context(), "j1")
		require.NoError(t, err)
	})
	t.Run("resends a lost answer under the same id", func(t *testing.T) {
		h := newHost(t, closeConnection, answer(http.StatusOK, job))
		_, err := operator(t, h.url()).Cancel(t.Context(), "j1", "id-1")
		require.NoError(t, err)
		assertRequests(t, h, "DELETE /v1/jobs/j1 id-1", "DELETE /v1/jobs/j1 id-1")
	})
	t.Run("generates a request id", func(t *testing.T) {
		h := newHost(t, closeConnection, answer(http.StatusOK, job))
		_, err := operator(t, h.url()).Cancel(t.Context(), "j/1", "")
		require.NoError(t, err)
		seen := h.received()
		require.Len(t, seen, 2)
		assert.Equal(t, seen[0], seen[1])
		assert.Regexp(t, "^DELETE /v1/jobs/j%2F1 [0-9a-f]{32}$", seen[0])
	})
}

// TestFailures guards against an error type that contradicts what the client knows: *Unreachable for a change that may
// have had an effect, or *Unknown for a request without one.
func TestFailures(t *testing.T) {
	t.Run("a lost answer to a change is Unknown", func(t *testing.T) {
		h := newHost(t, closeConnection)
		_, err := operator(t, h.url()).Apply(t.Context(), nil, 3, "id-1")
		var u *client.Unknown
		require.ErrorAs(t, err, &u)
		assert.Equal(t, "id-1", u.RequestID())
	})
	t.Run("a lost answer to a read is Unreachable", func(t *testing.T) {
		_, err := operator(t, newHost(t, closeConnection).url()).Jobs(t.Context())
		assertFailure[*client.Unreachable](t, err)
	})
	t.Run("no host listens", func(t *testing.T) {
		_, err := operator(t, unusedAddress(t)).Submit(t.Context(), submission(), "")
		assertFailure[*client.Unreachable](t, err)
	})
	t.Run("host that does not answer", func(t *testing.T) {
		h := newHost(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		err := operator(t, h.url()).Drain(t.Context(), "w1", "")
		assertFailure[*client.Unknown](t, err)
	})
	t.Run("host that may have run the request", func(t *testing.T) {
		h := newHost(t, answer(http.StatusServiceUnavailable, `{"outcome":"may-have-run","reason":"control-unavailable"}`))
		err := operator(t, h.url()).Drain(t.Context(), "w1", "")
		assertFailure[*client.Unknown](t, err)
	})
	t.Run("conflict", func(t *testing.T) {
		h := newHost(t, answer(http.StatusConflict, `{"reason":"revision-conflict","revision":9,"message":"m"}`))
		_, err := operator(t, h.url()).Apply(t.Context(), nil, 3, "")
		assert.Equal(t, uint64(9), requireFailure[*client.Conflict](t, err).Revision())
	})
	t.Run("refusal", func(t *testing.T) {
		h := newHost(t, answer(http.StatusUnauthorized, `{"outcome":"not-run","reason":"unauthorized","message":"m"}`))
		_, err := operator(t, h.url()).Endpoints(t.Context())
		r := requireFailure[*client.Refusal](t, err)
		assert.Equal(t, outcome.Unauthorized, r.Reason())
		assert.Equal(t, outcome.NotRun, r.Outcome())
		assert.Equal(t, http.StatusUnauthorized, r.Status())
	})
	t.Run("refusal before an attempt that the timeout cuts short", func(t *testing.T) {
		h := newHost(t, answerMisdirected(""), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		o, err := client.NewOperator([]string{h.url()}, client.WithTimeout(300*time.Millisecond))
		require.NoError(t, err)
		t.Cleanup(o.Close)
		_, err = o.Endpoints(t.Context())
		assertFailure[*client.Refusal](t, err)
		assert.Len(t, h.received(), 2)
	})
	t.Run("refusal that is not JSON", func(t *testing.T) {
		h := newHost(t, answer(http.StatusBadGateway, strings.Repeat("x", 10000)))
		_, err := operator(t, h.url()).Jobs(t.Context())
		assert.Less(t, len(requireFailure[*client.Refusal](t, err).Error()), 300)
	})
	t.Run("answer that is not JSON", func(t *testing.T) {
		_, err := operator(t, newHost(t, answer(http.StatusOK, "<html>")).url()).Jobs(t.Context())
		assert.ErrorContains(t, err, "decode answer to GET /v1/jobs")
	})
	t.Run("invalid host URLs", func(t *testing.T) {
		for _, list := range [][]string{nil, {"127.0.0.1:1"}, {"ftp://127.0.0.1"}} {
			_, err := client.NewOperator(list)
			require.Error(t, err)
			_, err = client.NewCaller(list)
			assert.Error(t, err)
		}
	})
}

// TestToken guards against a token that is printed with the client or follows a redirect to another server.
func TestToken(t *testing.T) {
	other := newHost(t, answer(http.StatusOK, job))
	h := newHost(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, "Bearer hunter2", r.Header.Get("Authorization"))
		http.Redirect(w, r, other.url(), http.StatusTemporaryRedirect)
	})
	o := operator(t, h.url())
	_, err := o.Jobs(t.Context())
	assertFailure[*client.Refusal](t, err)
	assert.Empty(t, other.received())
	assert.NotContains(t, fmt.Sprintf("%+v %v", o, err), "hunter2")
}

// TestRequests guards against requests that differ from the HTTP interface of the control hosts.
func TestRequests(t *testing.T) {
	t.Run("apply", func(t *testing.T) {
		h := newHost(t, answer(http.StatusOK, `{"revision":4,"changes":["added a"],"repeated":true}`))
		a, err := operator(t, h.url()).Apply(t.Context(), []byte("x"), 3, "i")
		require.NoError(t, err)
		assert.Equal(t, uint64(4), a.Revision())
		assert.True(t, a.Repeated())
		assert.Equal(t, []string{"added a"}, a.Changes())
		assertRequests(t, h, "POST /v1/apply?base=3 i x")
	})
	t.Run("dry run of apply", func(t *testing.T) {
		h := newHost(t, answer(http.StatusOK, `{"revision":3}`))
		_, err := operator(t, h.url()).DryApply(t.Context(), nil, 3)
		require.NoError(t, err)
		assert.Regexp(t, `^POST /v1/apply\?base=3&dry=true `, h.received()[0])
	})
	t.Run("config", func(t *testing.T) {
		h := newHost(t, answer(http.StatusOK, `{"revision":7,"text":"[defaults]"}`))
		c, err := operator(t, h.url()).Config(t.Context())
		require.NoError(t, err)
		assert.Equal(t, "[defaults]", c.Text())
		assert.Equal(t, uint64(7), c.Revision())
	})
	t.Run("submit", func(t *testing.T) {
		h := newHost(t, answer(http.StatusOK, job))
		s := client.NewSubmission("w", 2, 8, "rack", client.WithUrgent(), client.WithIdempotent(),
			client.WithCheckpointable(), client.WithRunTime(90*time.Second), client.WithPayload("p"))
		_, err := operator(t, h.url()).Submit(t.Context(), s, "i")
		require.NoError(t, err)
		assertRequests(t, h, `POST /v1/jobs i {"workspace":"w","shape":{"members":2,"accelerators":8,"adjacency":"rack"},`+
			`"urgency":"urgent","idempotent":true,"checkpointable":true,"run_time_s":90,"payload":"p"}`)
	})
	t.Run("lists", func(t *testing.T) {
		jobs, err := operator(t, newHost(t, answer(http.StatusOK, `[`+job+`]`)).url()).Jobs(t.Context())
		require.NoError(t, err)
		require.Len(t, jobs, 1)
		data, err := json.Marshal(jobs[0])
		require.NoError(t, err)
		assert.Contains(t, string(data), `"worker":"w1"`)
		endpoints, err := operator(t, newHost(t, answer(http.StatusOK, `[{"name":"w1","in_flight":2}]`)).url()).Endpoints(t.Context())
		require.NoError(t, err)
		require.Len(t, endpoints, 1)
		assert.Equal(t, 2, endpoints[0].InFlight())
	})
	t.Run("drain and undrain", func(t *testing.T) {
		h := newHost(t, answer(http.StatusOK, ""))
		o := operator(t, h.url())
		require.NoError(t, o.Drain(t.Context(), "w1", "i"))
		require.NoError(t, o.Undrain(t.Context(), "w1", "k"))
		assertRequests(t, h, `POST /v1/endpoints/w1/drain i {"drained":true}`, `POST /v1/endpoints/w1/drain k {"drained":false}`)
	})
	t.Run("evacuate and reopen", func(t *testing.T) {
		h := newHost(t, answer(http.StatusOK, ""))
		o := operator(t, h.url())
		require.NoError(t, o.Evacuate(t.Context(), "z", "power cut", "i"))
		require.NoError(t, o.Reopen(t.Context(), "z", "k"))
		assertRequests(t, h, `POST /v1/zones/z/evacuate i {"evacuated":true,"reason":"power cut"}`, `POST /v1/zones/z/evacuate k {"evacuated":false}`)
	})
	t.Run("evacuations", func(t *testing.T) {
		h := newHost(t, answer(http.StatusOK, `[{"availability_zone":"z","reason":"power cut","since":"2026-01-05T08:00:00Z"}]`))
		list, err := operator(t, h.url()).Evacuations(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
		assert.Equal(t, "z", list[0].AvailabilityZone())
		assert.Equal(t, "power cut", list[0].Reason())
		assert.Equal(t, int64(1767600000), list[0].Since().Unix())
		assertRequests(t, h, "GET /v1/evacuations")
	})
	t.Run("explain", func(t *testing.T) {
		h := newHost(t, answer(http.StatusOK, `{"id":"j1","explanation":"a"}`))
		e, err := operator(t, h.url()).Explain(t.Context(), "j1")
		require.NoError(t, err)
		assert.Equal(t, "a", e.Text())
		assertRequests(t, h, "GET /v1/jobs/j1/explain")
	})
}

// TestRefusalAfterLostAnswer guards against a refusal as the error of a request that an earlier attempt may have carried
// out: the token or the workspace may have been withdrawn since.
func TestRefusalAfterLostAnswer(t *testing.T) {
	refusal := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(outcome.Header, string(outcome.NotRun))
			answer(status, `{"outcome":"not-run","reason":"unauthorized","message":"m"}`)(w, r)
		}
	}
	for _, status := range []int{http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound} {
		t.Run("change "+http.StatusText(status), func(t *testing.T) {
			_, err := operator(t, newHost(t, closeConnection, refusal(status)).url()).Cancel(t.Context(), "j1", "id-1")
			assert.Equal(t, "id-1", requireFailure[*client.Unknown](t, err).RequestID())
		})
		t.Run("change that may have run "+http.StatusText(status), func(t *testing.T) {
			h := newHost(t, answer(http.StatusServiceUnavailable, `{"outcome":"may-have-run","reason":"control-unavailable"}`), refusal(status))
			assertFailure[*client.Unknown](t, operator(t, h.url()).Drain(t.Context(), "w1", ""))
		})
		t.Run("call "+http.StatusText(status), func(t *testing.T) {
			// The caller rotates over the hosts, so the second call is sent to the host that was last in the first one.
			c := caller(t, newHost(t, refusal(status)).url(), newHost(t, closeConnection).url())
			unknown := 0
			for range 2 {
				_, err := c.Do(t.Context(), call(client.WithKey("k")))
				if err != nil {
					assertFailure[*client.Unknown](t, err)
					unknown++
				}
			}
			assert.Equal(t, 1, unknown, "calls that a host had received before the refusal")
		})
	}
	t.Run("conflict, which the state machine answers", func(t *testing.T) {
		h := newHost(t, closeConnection, answer(http.StatusConflict, `{"reason":"revision-conflict","revision":9,"message":"m"}`))
		_, err := operator(t, h.url()).Apply(t.Context(), nil, 3, "")
		assertFailure[*client.Conflict](t, err)
	})
	t.Run("read", func(t *testing.T) {
		_, err := operator(t, newHost(t, closeConnection, refusal(http.StatusNotFound)).url()).Job(t.Context(), "j1")
		assertFailure[*client.Refusal](t, err)
	})
}

// TestCaller guards against a call that runs twice because it was sent to a second entry host.
func TestCaller(t *testing.T) {
	t.Run("answer", func(t *testing.T) {
		h := newHost(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(outcome.Header, string(outcome.Ran))
			w.WriteHeader(http.StatusAccepted)
		})
		a, err := caller(t, h.url()).Do(t.Context(), call(client.WithUrgentCall(), client.WithDeadline(time.Second)))
		require.NoError(t, err)
		assert.Equal(t, outcome.Ran, a.Outcome())
		assert.Equal(t, http.StatusAccepted, a.Status())
		assertRequests(t, h, "POST /w/scans/run?x=1")
	})
	t.Run("does not resend without a key", func(t *testing.T) {
		a, b := newHost(t, closeConnection), newHost(t, closeConnection)
		_, err := caller(t, a.url(), b.url()).Do(t.Context(), call())
		assertFailure[*client.Unknown](t, err)
		assert.Equal(t, 1, len(a.received())+len(b.received()))
	})
	t.Run("resends with a key", func(t *testing.T) {
		a, b := newHost(t, closeConnection), newHost(t, closeConnection)
		_, err := caller(t, a.url(), b.url()).Do(t.Context(), call(client.WithKey("k")))
		assert.Equal(t, "k", requireFailure[*client.Unknown](t, err).RequestID())
		assert.NotEmpty(t, a.received())
		assert.NotEmpty(t, b.received())
	})
	t.Run("resends an idempotent call", func(t *testing.T) {
		h := newHost(t, answer(http.StatusOK, ""))
		c := caller(t, h.url(), newHost(t, closeConnection).url())
		for range 2 {
			_, err := c.Do(t.Context(), call(client.WithIdempotence(true)))
			require.NoError(t, err)
		}
	})
	t.Run("skips a host that is down", func(t *testing.T) {
		h := newHost(t, answer(http.StatusOK, ""))
		c := caller(t, h.url(), unusedAddress(t))
		for range 2 {
			_, err := c.Do(t.Context(), call())
			require.NoError(t, err)
		}
	})
	t.Run("no host listens", func(t *testing.T) {
		_, err := caller(t, unusedAddress(t)).Do(t.Context(), call(client.WithIdempotence(false)))
		assertFailure[*client.Unreachable](t, err)
	})
}

// host is a test server in place of a control or entry host. It gives its answers in order and repeats the last one.
type host struct {
	server   *httptest.Server
	mutex    sync.Mutex
	requests []string
}

func newHost(t *testing.T, answers ...http.HandlerFunc) *host {
	t.Helper()
	h := &host{}
	h.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		line := fmt.Sprintf("%s %s %s %s", r.Method, r.URL.RequestURI(), r.Header.Get(client.RequestIDHeader), body)
		h.mutex.Lock()
		h.requests = append(h.requests, strings.TrimSpace(line))
		next := answers[min(len(h.requests), len(answers))-1]
		h.mutex.Unlock()
		next(w, r)
	}))
	t.Cleanup(h.server.Close)
	return h
}

func (h *host) url() string { return h.server.URL }

func (h *host) received() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]string(nil), h.requests...)
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// answerMisdirected answers as a follower does that knows this leader.
func answerMisdirected(leader string) http.HandlerFunc {
	return answer(http.StatusMisdirectedRequest, fmt.Sprintf(`{"outcome":"not-run","reason":"not-leader","leader":%q}`, leader))
}

// closeConnection closes the connection without an answer.
func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func unusedAddress(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	return s.URL
}

func operator(t *testing.T, hosts ...string) *client.Operator {
	t.Helper()
	o, err := client.NewOperator(hosts, client.WithToken("hunter2"),
		client.WithTimeout(700*time.Millisecond), client.WithAttemptTimeout(300*time.Millisecond))
	require.NoError(t, err)
	t.Cleanup(o.Close)
	return o
}

func caller(t *testing.T, hosts ...string) *client.Caller {
	t.Helper()
	c, err := client.NewCaller(hosts, client.WithTimeout(5*time.Second))
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func submission() client.Submission { return client.NewSubmission("w", 1, 8, "rack") }

func call(list ...client.CallOption) *client.Call {
	return client.NewCall(http.MethodPost, "scans", "/run?x=1", nil, list...)
}

func requireFailure[F error](t *testing.T, err error) (f F) {
	t.Helper()
	require.ErrorAs(t, err, &f)
	return f
}

func assertFailure[F error](t *testing.T, err error) {
	t.Helper()
	var f F
	assert.ErrorAs(t, err, &f)
}

func assertRequests(t *testing.T, h *host, want ...string) {
	t.Helper()
	assert.Equal(t, want, h.received())
}
