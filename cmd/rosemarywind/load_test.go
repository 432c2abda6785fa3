package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// loadWorkers is the number of goroutines that send load. With requests of 20 ms they send about 100 to 200 a second.
const loadWorkers = 4

// load ENTRY... sends requests, each with a new key, until audit. If the outcome is not "ran", the request is resent
// with the same key, at most once to each entry host.
func (j *journal) load(entries []string) error {
	ctx, cancel := context.WithCancel(context.Background())
	j.stopLoad, j.attempts = cancel, nil
	j.loads++
	for i := range loadWorkers {
		j.workers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				key := fmt.Sprintf("load%d-%d-%d", j.loads, i, n)
				for k := range entries {
					entry := entries[(i+n+k)%len(entries)]
					a := j.call(entry, []string{"key=" + key, "body=" + key, "ms=20"})
					j.mutex.Lock()
					j.attempts = append(j.attempts, attempt{key: key, entry: entry, answer: a})
					j.mutex.Unlock()
					if a.outcome == outcome.Ran {
						break
					}
				}
			}
		})
	}
	return nil
}

// audit LEAST [ALLOWED...] ends the load and checks its answers: at least LEAST keys ran and none ran twice, each
// answer is true and belongs to its request, and each outcome is ran, not-run, unsent or one of the ALLOWED. The
// outcomes of a key are not restricted if claimUnconfirmed.
func (j *journal) audit(args []string) error {
	var least int
	if _, err := fmt.Sscan(args[0], &least); err != nil {
		return err
	}
	// The load waits for its answers, so a busy machine needs longer for the same number of keys.
	_ = eventually(func() error { return j.checkRan(least) })
	j.stopLoad()
	j.workers.Wait()
	allowed := append([]string{string(outcome.Ran), string(outcome.NotRun), string(unsent)}, args[1:]...)
	byKey, counts := map[string][]attempt{}, map[string]int{}
	for _, a := range j.attempts {
		byKey[a.key] = append(byKey[a.key], a)
		counts[strings.TrimSpace(fmt.Sprintf("%d %s %s", a.status, a.outcome, a.reason))]++
	}
	for _, a := range j.attempts {
		if !claimUnconfirmed(byKey[a.key]) && !isOneOf(strings.Join(allowed, "|"), string(a.outcome)) {
			return fmt.Errorf("outcome %s of key %s is not allowed: %+v", a.outcome, a.key, byKey[a.key])
		}
	}
	j.script.t.Logf("%d keys, answers %v", len(byKey), counts)
	ran := 0
	for key, list := range byKey {
		n, _, err := j.countRuns(key)
		if err != nil {
			return err
		}
		if ran += n; n > 1 {
			return fmt.Errorf("key %s ran %d times: %+v", key, n, list)
		}
		if err = checkAnswers(key, n, list); err != nil {
			return err
		}
	}
	if ran < least {
		return fmt.Errorf("only %d of %d keys ran", ran, len(byKey))
	}
	return nil
}

// checkRan returns an error while fewer than least requests were answered with the outcome ran.
func (j *journal) checkRan(least int) error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	ran := 0
	for _, a := range j.attempts {
		if a.outcome == outcome.Ran {
			ran++
		}
	}
	if ran < least {
		return fmt.Errorf("only %d requests ran", ran)
	}
	return nil
}

// claimUnconfirmed reports whether the first attempt with a key was refused because the entry host did not learn
// whether the claim was committed. That refusal is true, and a resend is answered with may-have-run (section 7.10 of
// the design page).
func claimUnconfirmed(list []attempt) bool {
	return list[0].reason == outcome.ControlUnavailable
}

// unserved STANDIN checks that a stand-in answered no request of the last load.
func (j *journal) unserved(args []string) error {
	for _, a := range j.attempts {
		if strings.Contains(a.body, fmt.Sprintf("\"worker\":%q", args[0])) {
			return fmt.Errorf("%s answered %s", args[0], a.key)
		}
	}
	return nil
}

// checkAnswers returns an error if the answers under a key contradict the number of its runs.
func checkAnswers(key string, runs int, list []attempt) error {
	notRun := true
	for _, a := range list {
		notRun = notRun && (a.outcome == outcome.NotRun || a.outcome == unsent)
		if a.outcome != outcome.Ran {
			continue
		}
		var echo struct{ Body string }
		if err := json.Unmarshal([]byte(a.body), &echo); err != nil || echo.Body != key {
			return fmt.Errorf("key %s got the answer to another request: %q", key, a.body)
		}
		if runs != 1 {
			return fmt.Errorf("key %s was reported as ran, but ran %d times", key, runs)
		}
	}
	if notRun && runs > 0 {
		return fmt.Errorf("key %s was reported as not run, but ran %d times: %+v", key, runs, list)
	}
	return nil
}
