package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rosemarywind.example/rosemarywind/pkg/client"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Outcomes of a request without a complete answer, as its caller sees them: unsent if no connection was made, broken if
// the connection was lost.
const (
	unsent = outcome.Outcome("unsent")
	broken = outcome.Outcome("broken")
)

// answer is the answer to a request; status is 0 if there was none, and body is then the error.
type answer struct {
	status     int
	outcome    outcome.Outcome
	reason     outcome.Reason
	body       string
	retryAfter string
}

// attempt is one request of the load with its answer.
type attempt struct {
	key   string
	entry string
	answer
}

// journal sends callers' requests and records their answers.
type journal struct {
	script   *script
	client   *http.Client
	pending  map[string]chan answer
	stopLoad context.CancelFunc
	loads    int
	workers  sync.WaitGroup
	mutex    sync.Mutex
	attempts []attempt
}

func newJournal(s *script) *journal {
	j := &journal{script: s, pending: map[string]chan answer{}, stopLoad: func() {}, client: &http.Client{
		Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	s.t.Cleanup(func() {
		j.stopLoad()
		j.workers.Wait()
	})
	return j
}

// call sends one request to an entry host and returns its answer. The fields are key=, ms=, deadline=, ws=, token=,
// method=, body= and urgent.
func (j *journal) call(entry string, fields []string) (a answer) {
	f := map[string]string{"ws": "previews", "method": http.MethodPost, "body": "pattern"}
	for _, field := range fields {
		name, value, _ := strings.Cut(field, "=")
		f[name] = value
	}
	url := fmt.Sprintf("http://%s/w/%s/work?ms=%s", j.script.entry(entry), f["ws"], f["ms"])
	// The struct hides the type of the reader, so that net/http cannot rewind the body. Otherwise net/http itself would
	// resend a request with a key.
	h, err := http.NewRequest(f["method"], url, struct{ io.Reader }{strings.NewReader(f["body"])})
	if err != nil {
		return answer{outcome: unsent, body: err.Error()}
	}
	token := f["ws"]
	if f["token"] != "" {
		token = f["token"]
	}
	h.Header.Set("Authorization", "Bearer "+j.script.tokens[token])
	if f["key"] != "" {
		h.Header.Set(client.KeyHeader, f["key"])
	}
	if _, ok := f["urgent"]; ok {
		h.Header.Set(client.UrgencyHeader, "urgent")
	}
	if f["deadline"] != "" {
		h.Header.Set(client.DeadlineHeader, f["deadline"])
	}
	var connected atomic.Bool
	h = h.WithContext(httptrace.WithClientTrace(h.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}))
	r, err := j.client.Do(h)
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(r.Body); err == nil {
			a = answer{status: r.StatusCode, outcome: outcome.Outcome(r.Header.Get(outcome.Header)), body: string(body)}
			a.retryAfter = r.Header.Get("Retry-After")
			var refusal outcome.Body
			if json.Unmarshal(body, &refusal) == nil {
				a.reason = refusal.Reason
			}
		}
		_ = r.Body.Close()
	}
	if err != nil {
		a = answer{outcome: unsent, body: err.Error()}
		if connected.Load() {
			a.outcome = broken
		}
	}
	return a
}

// send ID ENTRY FIELD... sends a request in the background.
func (j *journal) send(args []string) error {
	got := make(chan answer, 1)
	j.pending[args[0]] = got
	go func() { got <- j.call(args[1], args[2:]) }()
	return nil
}

// got ID STATUS OUTCOME [REASON] waits for the answer to a sent request and checks it. Each argument but ID may list
// alternatives, such as 409|502.
func (j *journal) got(args []string) error {
	select {
	case a := <-j.pending[args[0]]:
		j.pending[args[0]] <- a
		j.script.stdout = a.body
		if !isOneOf(args[1], strconv.Itoa(a.status)) || !isOneOf(args[2], string(a.outcome)) ||
			len(args) > 3 && !isOneOf(args[3], string(a.reason)) {
			return fmt.Errorf("got %d %s %s: %s", a.status, a.outcome, a.reason, a.body)
		}
		return nil
	case <-time.After(waitLimit):
		return fmt.Errorf("no answer within %s", waitLimit)
	}
}

// hears ENTRY STATUS OUTCOME REASON FIELD... repeats a request until it gets the given answer. Each other answer must
// be a 409, or a refusal with the reason control-unavailable while no leader is known.
func (j *journal) hears(args []string) error {
	return eventually(func() error {
		a := j.call(args[0], args[4:])
		if isOneOf(args[1], strconv.Itoa(a.status)) && isOneOf(args[2], string(a.outcome)) && isOneOf(args[3], string(a.reason)) {
			return nil
		}
		if a.status != http.StatusConflict && a.reason != outcome.ControlUnavailable {
			j.script.t.Errorf("got %d %s %s: %s", a.status, a.outcome, a.reason, a.body)
		}
		return fmt.Errorf("got %d %s %s", a.status, a.outcome, a.reason)
	})
}

// isOneOf reports whether text is one of the alternatives, which are separated by "|".
func isOneOf(alternatives, text string) bool {
	return strings.Contains("|"+alternatives+"|", "|"+text+"|")
}

// countRuns returns how many times requests with a key ran at all stand-ins together, and the name of one where they
// ran.
func (j *journal) countRuns(key string) (total int, at string, err error) {
	for name := range j.script.processes {
		if roleOf(name) != "standin" {
			continue
		}
		r, err := j.client.Get("http://" + j.script.address(standinPort+int(name[1]-'0')) + "/standin/runs?key=" + key)
		if err != nil {
			return 0, "", err
		}
		body, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil {
			return 0, "", err
		}
		n, err := strconv.Atoi(string(bytes.TrimSpace(body)))
		if err != nil {
			return 0, "", err
		}
		if total += n; n > 0 {
			at = name
		}
	}
	return total, at, nil
}

// runs KEY N checks that requests with a key ran N times at all stand-ins together; N may list alternatives.
func (j *journal) runs(args []string) error {
	n, _, err := j.countRuns(args[0])
	if err == nil && !isOneOf(args[1], strconv.Itoa(n)) {
		err = fmt.Errorf("%s ran %d times", args[0], n)
	}
	return err
}

// runner KEY VARIABLE waits until a stand-in runs a request with a key, and stores the stand-in's number in a variable.
func (j *journal) runner(args []string) error {
	return eventually(func() error {
		n, at, err := j.countRuns(args[0])
		if err == nil && n == 0 {
			err = fmt.Errorf("%s has not run", args[0])
		}
		if err == nil {
			j.script.ts.Setenv(args[1], at[1:])
		}
		return err
	})
}
