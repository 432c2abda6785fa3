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

// leader VARIABLE [NAME...] waits for a leader other than the named hosts and keeps its name.
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

// follower VARIABLE [NAME...] keeps the name of a control host that does not lead and is not one of the named ones.
func (s *script) follower(args []string) error {
	for _, name := range s.controls(args[1:]) {
		if _, ok := s.revision(name); !ok {
			s.ts.Setenv(args[0], name)
			return nil
		}
	}
	return fmt.Errorf("no such control host")
}

// controls returns the names of the started control hosts in order, but for the named ones.
func (s *script) controls(without []string) (names []string) {
	for name := range s.processes {
		if roleOf(name) == "control" && !slices.Contains(without, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// revision returns the revision of the configuration that a control host serves as the leader.
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

// holds REVISION DURATION expects that no control host serves an older revision as the leader for a time.
func (s *script) holds(args []string) error {
	var least uint64
	if _, err := fmt.Sscan(args[0], &least); err != nil {
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
			if got, ok := s.revision(name); ok && got < least {
				return fmt.Errorf("%s serves revision %d", name, got)
			}
		}
		select {
		case <-tick.C:
		case <-end:
			return nil
		}
	}
}

// together FILE FILE applies two declarations at once: one wins, the other gets exit code 3 with the winner's revision.
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
		return fmt.Errorf("exit codes %d and %d", a.code, b.code)
	}
	return nil
}

// worker JOB VARIABLE keeps the number of the first worker of a gang.
func (s *script) worker(args []string) error {
	if _, err := s.call([]string{"rosemarywind", "status", "j-" + args[0]}); err != nil {
		return err
	}
	found := regexp.MustCompile(`w(\d),w\d`).FindStringSubmatch(s.stdout)
	if found == nil {
		return fmt.Errorf("the job has no workers")
	}
	s.ts.Setenv(args[1], found[1])
	return nil
}

// idle STANDIN... waits until no task runs at the stand-ins that are alive.
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
				return fmt.Errorf("%s runs a task", name)
			}
		}
		return nil
	})
}

// metric CONTROL PATTERN waits until the metrics of a control host match.
func (s *script) metric(args []string) error {
	return eventually(func() error {
		err := s.get([]string{"http://" + s.address(operatorPort+int(args[0][1]-'0')) + "/metrics"})
		if err == nil {
			err = match(false, s.stdout, args[1])
		}
		return err
	})
}

// documented URL expects each metric of a process on the operations page, by its name or with its last part as REASON or STATE.
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

// get URL keeps what a URL answers.
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

// fault NAME FAULT makes a stand-in misbehave.
func (s *script) fault(args []string) error {
	url := "http://" + s.address(standinPort+int(args[0][1]-'0')) + "/standin/fault"
	answer, err := s.journal.client.Post(url, "application/json", strings.NewReader(fmt.Sprintf("{\"fault\":%q}", args[1])))
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// silence WORKER sets a relay before an agent; a repeated call makes all open flows lose every datagram.
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
