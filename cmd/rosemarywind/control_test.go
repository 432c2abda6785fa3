package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/impair"
)

// leader VARIABLE [NAME...] waits until a control host that is not named serves as the leader, and stores its name in a
// variable.
func (s *script) leader(args []string) error {
	return eventually(func() error {
		for _, name := range s.controls(args[1:]) {
			if _, ok := s.revision(name); ok {
				s.ts.Setenv(args[0], name)
				return nil
			}
		}
		return fmt.Errorf("no control host serves as the leader")
	})
}

// follower VARIABLE [NAME...] stores in a variable the name of a control host that does not serve as the leader and is
// not named.
func (s *script) follower(args []string) error {
	for _, name := range s.controls(args[1:]) {
		if _, ok := s.revision(name); !ok {
			s.ts.Setenv(args[0], name)
			return nil
		}
	}
	return fmt.Errorf("no other control host is a follower")
}

// controls returns the sorted names of the started control hosts, except those in without.
func (s *script) controls(without []string) (names []string) {
	for name := range s.processes {
		if roleOf(name) == "control" && !slices.Contains(without, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// revision returns the revision of the configuration that a control host serves; ok is false if it does not serve as
// the leader.
func (s *script) revision(name string) (revision uint64, ok bool) {
	h, err := http.NewRequest(http.MethodGet, "http://"+s.address(operatorPort+int(name[1]-'0'))+"/v1/config", nil)
	if err != nil {
		return 0, false
	}
	h.Header.Set("Authorization", "Bearer "+s.tokens["operator"])
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(h)
	if err != nil {
		return 0, false
	}
	defer func() { _ = answer.Body.Close() }()
	var body struct {
		Revision uint64 `json:"revision"`
	}
	err = json.NewDecoder(answer.Body).Decode(&body)
	return body.Revision, err == nil && answer.StatusCode == http.StatusOK
}

// holds REVISION DURATION checks, for the duration, that no control host serves an older revision as the leader.
func (s *script) holds(args []string) error {
	var oldest uint64
	if _, err := fmt.Sscan(args[0], &oldest); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	end := time.After(d)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		for _, name := range s.controls(nil) {
			if got, ok := s.revision(name); ok && got < oldest {
				return fmt.Errorf("%s serves the older revision %d", name, got)
			}
		}
		select {
		case <-tick.C:
		case <-end:
			return nil
		}
	}
}

// together FILE FILE applies two declarations concurrently. It checks that one is accepted and that the other ends with
// exit code 3 and names the accepted revision.
func (s *script) together(files []string) error {
	type result struct {
		code int
		text string
	}
	results := make(chan result, len(files))
	for _, f := range files {
		go func() {
			c := s.command([]string{"rosemarywind", "apply", f})
			text, _ := c.CombinedOutput()
			results <- result{code: c.ProcessState.ExitCode(), text: string(text)}
		}()
	}
	a, b := <-results, <-results
	if a.code > b.code {
		a, b = b, a
	}
	s.stdout, s.stderr = a.text, b.text
	if a.code != 0 || b.code != 3 || !strings.Contains(b.text, "revision 2") {
		return fmt.Errorf("apply ended with exit codes %d and %d, want 0 and 3 with revision 2", a.code, b.code)
	}
	return nil
}

// worker JOB VARIABLE stores in a variable the number of the worker of a gang's first member.
func (s *script) worker(args []string) error {
	if _, err := s.runCommand([]string{"rosemarywind", "status", "j-" + args[0]}); err != nil {
		return err
	}
	found := regexp.MustCompile(`w(\d),w\d`).FindStringSubmatch(s.stdout)
	if found == nil {
		return fmt.Errorf("the job has no workers")
	}
	s.ts.Setenv(args[1], found[1])
	return nil
}

// idle STANDIN... waits until no task runs or is reserved at those of the named stand-ins that have not ended.
func (s *script) idle(names []string) error {
	return eventually(func() error {
		for _, name := range names {
			select {
			case <-s.processes[name].done:
				continue
			default:
			}
			if err := s.get([]string{"http://" + s.address(standinPort+int(name[1]-'0')) + "/tasks"}); err != nil {
				return err
			}
			if strings.Contains(s.stdout, `"state":"running"`) || strings.Contains(s.stdout, `"state":"reserved"`) {
				return fmt.Errorf("%s has a running or reserved task", name)
			}
		}
		return nil
	})
}

// metric CONTROL PATTERN waits until the metrics of a control host match a regular expression.
func (s *script) metric(args []string) error {
	return eventually(func() error {
		err := s.get([]string{"http://" + s.address(operatorPort+int(args[0][1]-'0')) + "/metrics"})
		if err == nil {
			err = match(false, s.stdout, args[1])
		}
		return err
	})
}

// documented URL checks that the operations page lists each metric at the URL, by its name or with REASON or STATE as
// the last part of the name.
func (s *script) documented(args []string) error {
	if err := s.get(args); err != nil {
		return err
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		return err
	}
	var metrics map[string]any
	if err := json.Unmarshal([]byte(s.stdout), &metrics); err != nil {
		return err
	}
	for name := range metrics {
		group := name[:strings.LastIndex(name, ".")+1]
		if !regexp.MustCompile("`(" + regexp.QuoteMeta(name) + "|" + regexp.QuoteMeta(group) + "(REASON|STATE))`").Match(page) {
			return fmt.Errorf("docs/OPERATIONS.md does not say what to do about %s", name)
		}
	}
	return nil
}

// get URL prints the body of the answer to a GET.
func (s *script) get(args []string) error {
	answer, err := s.journal.client.Get(args[0])
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	s.stdout = string(body)
	return err
}

// fault NAME FAULT injects a fault into a stand-in; an empty FAULT ends the fault.
func (s *script) fault(args []string) error {
	url := "http://" + s.address(standinPort+int(args[0][1]-'0')) + "/standin/fault"
	answer, err := s.journal.client.Post(url, "application/json", strings.NewReader(fmt.Sprintf("{\"fault\":%q}", args[1])))
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// silence WORKER inserts a relay before an agent that is not yet started. A second call makes the relay drop all
// datagrams of the flows that are open.
func (s *script) silence(args []string) (err error) {
	name := args[0]
	if r, ok := s.relays[name]; ok {
		if r.Flows() == 0 {
			return fmt.Errorf("no connection to %s goes through the relay", name)
		}
		r.DropFlows()
		return nil
	}
	r, err := impair.NewRelay(s.address(agentPort + int(name[1]-'0')))
	if err != nil {
		return err
	}
	s.relays[name] = r
	line := fmt.Sprintf("name = %q\n", name)
	return s.edit([]string{name + ".toml", line, line + fmt.Sprintf("advertise = %q\n", r.Address())})
}
