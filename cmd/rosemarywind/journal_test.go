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

// What a caller knows of a request without an answer.
const (
	unsent = outcome.Outcome("unsent")
	broken = outcome.Outcome("broken")
)

// answer is what a caller heard.
type answer struct {
	status  int
	outcome outcome.Outcome
	reason  outcome.Reason
	body    string
	retry   string
}

// attempt is one request of the load.
type attempt struct {
	key   string
	entry string
	answer
}

// journal sends requests and keeps what their callers heard.
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
		Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	s.t.Cleanup(func() {
		j.stopLoad()
		j.workers.Wait()
	})
	return j
}

// call sends one request; fields are key=, ms=, deadline=, ws=, token=, method= and body=, and the word urgent.
func (j *journal) call(entry string, fields []string) (a answer) {
	f := map[string]string{"ws": "previews", "method": http.MethodPost, "body": "pattern"}
	for _, field := range fields {
		name, value, _ := strings.Cut(field, "=")
		f[name] = value
	}
	url := fmt.Sprintf("http://%s/w/%s/work?ms=%s", j.script.entry(entry), f["ws"], f["ms"])
	// net/http sends a request with a key again on its own if it can rewind the body.
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
			a.retry = r.Header.Get("Retry-After")
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

// got ID STATUS OUTCOME [REASON] waits for the answer to a request; STATUS may list alternatives as 409|502.
func (j *journal) got(args []string) error {
	select {
	case a := <-j.pending[args[0]]:
		j.pending[args[0]] <- a
		j.script.stdout = a.body
		if !one(args[1], strconv.Itoa(a.status)) || !one(args[2], string(a.outcome)) ||
			len(args) > 3 && !one(args[3], string(a.reason)) {
			return fmt.Errorf("got %d %s %s: %s", a.status, a.outcome, a.reason, a.body)
		}
		return nil
	case <-time.After(patience):
		return fmt.Errorf("no answer within %s", patience)
	}
}

// hears ENTRY STATUS OUTCOME REASON FIELD... sends a request again until its caller hears that; each other answer must
// be a 409, or a refusal while no leader is known.
func (j *journal) hears(args []string) error {
	return eventually(func() error {
		a := j.call(args[0], args[4:])
		if one(args[1], strconv.Itoa(a.status)) && one(args[2], string(a.outcome)) && one(args[3], string(a.reason)) {
			return nil
		}
		if a.status != http.StatusConflict && a.reason != outcome.ControlAway {
			j.script.t.Errorf("got %d %s %s: %s", a.status, a.outcome, a.reason, a.body)
		}
		return fmt.Errorf("got %d %s %s", a.status, a.outcome, a.reason)
	})
}

// one reports whether a text is one of the alternatives.
func one(alternatives, text string) bool {
	return strings.Contains("|"+alternatives+"|", "|"+text+"|")
}

// count returns how often a key ran at each stand-in.
func (j *journal) count(key string) (total int, at string, err error) {
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

// runs KEY N expects that a key ran N times over all stand-ins.
func (j *journal) runs(args []string) error {
	n, _, err := j.count(args[0])
	if err == nil && !one(args[1], strconv.Itoa(n)) {
		err = fmt.Errorf("%s ran %d times", args[0], n)
	}
	return err
}

// runner KEY VARIABLE waits until a key runs, and keeps the number of the worker.
func (j *journal) runner(args []string) error {
	return eventually(func() error {
		n, at, err := j.count(args[0])
		if err == nil && n == 0 {
			err = fmt.Errorf("%s has not run", args[0])
		}
		if err == nil {
			j.script.ts.Setenv(args[1], at[1:])
		}
		return err
	})
}
