package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// loadThreads send requests of 20 ms with a fresh key each: about 100 to 200 a second.
const loadThreads = 4

// load ENTRY... sends keyed requests until audit; an answer that is not "ran" is asked for again with the same key.
func (j *journal) load(entries []string) error {
	ctx, cancel := context.WithCancel(context.Background())
	j.stopLoad, j.attempts = cancel, nil
	j.loads++
	for i := range loadThreads {
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

// audit LEAST [ALLOWED...] ends the load and checks every key: at least LEAST of them ran, none ran twice, each
// answer is true and belongs to its request, and no outcome other than ran, not-run and the allowed ones was heard.
func (j *journal) audit(args []string) error {
	j.stopLoad()
	j.workers.Wait()
	allowed := append([]string{string(outcome.Ran), string(outcome.NotRun), string(unsent)}, args[1:]...)
	byKey, seen := map[string][]attempt{}, map[string]int{}
	for _, a := range j.attempts {
		byKey[a.key] = append(byKey[a.key], a)
		seen[strings.TrimSpace(fmt.Sprintf("%d %s %s", a.status, a.outcome, a.reason))]++
	}
	for _, a := range j.attempts {
		if !unclaimed(byKey[a.key]) && !one(strings.Join(allowed, "|"), string(a.outcome)) {
			return fmt.Errorf("outcome %s of %s: %+v", a.outcome, a.key, byKey[a.key])
		}
	}
	j.script.t.Logf("%d keys, answers %v", len(byKey), seen)
	ran := 0
	for key, list := range byKey {
		n, _, err := j.count(key)
		if err != nil {
			return err
		}
		if ran += n; n > 1 {
			return fmt.Errorf("%s ran %d times: %+v", key, n, list)
		}
		if err = truthful(key, n, list); err != nil {
			return err
		}
	}
	var least int
	if _, err := fmt.Sscan(args[0], &least); err != nil {
		return err
	}
	if ran < least {
		return fmt.Errorf("only %d of %d keys ran", ran, len(byKey))
	}
	return nil
}

// unclaimed reports whether an entry refused a key because it did not hear whether its claim was committed; the
// refusal is true, and a resend is answered with may-have-run (section 7.10 of the design page).
func unclaimed(list []attempt) bool {
	return list[0].reason == outcome.ControlAway
}

// unserved STANDIN expects that a stand-in answered no request of the last load.
func (j *journal) unserved(args []string) error {
	for _, a := range j.attempts {
		if strings.Contains(a.body, fmt.Sprintf("\"worker\":%q", args[0])) {
			return fmt.Errorf("%s answered %s", args[0], a.key)
		}
	}
	return nil
}

// truthful compares the answers under a key with the number of its runs.
func truthful(key string, runs int, list []attempt) error {
	notRun := true
	for _, a := range list {
		notRun = notRun && (a.outcome == outcome.NotRun || a.outcome == unsent)
		if a.outcome != outcome.Ran {
			continue
		}
		var echo struct{ Body string }
		if err := json.Unmarshal([]byte(a.body), &echo); err != nil || echo.Body != key {
			return fmt.Errorf("%s got the answer %q", key, a.body)
		}
		if runs != 1 {
			return fmt.Errorf("%s is said to have run, and ran %d times", key, runs)
		}
	}
	if notRun && runs > 0 {
		return fmt.Errorf("%s is said not to have run, and ran %d times: %+v", key, runs, list)
	}
	return nil
}
