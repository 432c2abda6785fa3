package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rosemarywind.example/rosemarywind/internal/impair"
)

// waitLimit bounds each wait of a script command.
const waitLimit = 20 * time.Second

// script is the state of one script in addition to testscript's own.
type script struct {
	t         testing.TB
	ts        *testscript.TestScript
	folder    string
	ip        string
	tokens    map[string]string // written only by cluster, before the goroutines of the load read it
	stdout    string
	stderr    string
	processes map[string]*child
	started   []string
	journal   *journal
	relays    map[string]*impair.Relay
}

// scriptValueKey is the key of the script in testscript.Env.Values.
type scriptValueKey struct{}

// raceOptions prevents the race detector from delaying the exit of each process by one second.
const raceOptions = "atexit_sleep_ms=0"

// setup creates the script of a testscript and sets its environment variables.
func setup(env *testscript.Env, number int64) {
	s := newScript(env.T().(testing.TB), env.WorkDir, number)
	env.Values[scriptValueKey{}] = s
	env.Setenv("ip", s.ip)
	env.Setenv("ROSEMARYWIND_SETTINGS", s.path("op.toml"))
	env.Setenv("GORACE", raceOptions)
}

// newScript returns the state of a script that works in folder. The loopback address depends on the number and on the
// process id, so that scripts and test runs in parallel do not use the same ports.
func newScript(t testing.TB, folder string, number int64) *script {
	pid := os.Getpid()
	s := &script{
		t: t, folder: folder, ip: fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, number),
		tokens: map[string]string{}, processes: map[string]*child{}, relays: map[string]*impair.Relay{},
	}
	s.journal = newJournal(s)
	t.Cleanup(s.cleanUp)
	return s
}

// cleanUp kills the processes that still run, fails the test on a data race or panic, and prints the ends of the logs
// after a failure.
func (s *script) cleanUp() {
	for _, r := range s.relays {
		r.Close()
	}
	for _, name := range s.started {
		p := s.processes[name]
		_ = p.cmd.Process.Kill()
		<-p.done
		if text, _ := p.log.contents(); strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") {
			s.t.Errorf("%s: data race or panic", name)
		}
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", name, p.log.tail())
		}
	}
}

// adapt returns a testscript command that calls run and then prints the output that run stored in the script.
func adapt(run func(s *script, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("the command cannot be negated")
		}
		s := ts.Value(scriptValueKey{}).(*script)
		s.ts, s.stdout, s.stderr = ts, "", ""
		err := run(s, args)
		if s.stdout+s.stderr != "" {
			_, _ = io.WriteString(ts.Stdout(), s.stdout)
			_, _ = io.WriteString(ts.Stderr(), s.stderr)
		}
		ts.Check(err)
	}
}

// match returns an error if pattern matches text and neg is true, or if it does not match and neg is false.
func match(neg bool, text, pattern string) error {
	if regexp.MustCompile(pattern).MatchString(text) == neg {
		return fmt.Errorf("match of pattern %q is %t", pattern, neg)
	}
	return nil
}

// command returns a command to run in the script's folder: rosemarywind, standin or any program on the path.
func (s *script) command(args []string) *exec.Cmd {
	c := exec.Command(args[0], args[1:]...)
	c.Dir = s.folder
	c.Env = append(os.Environ(), "ROSEMARYWIND_SETTINGS="+s.path("op.toml"), "GORACE="+raceOptions)
	return c
}

// runCommand runs a command, stores its output, and returns its exit code.
func (s *script) runCommand(args []string) (code int, err error) {
	c := s.command(args)
	var out, errs bytes.Buffer
	c.Stdout, c.Stderr = &out, &errs
	err = c.Run()
	s.stdout, s.stderr = out.String(), errs.String()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), nil
	}
	return 0, err
}

// exits CODE COMMAND... runs a command and checks its exit code.
func (s *script) exits(args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	code, err := s.runCommand(args[1:])
	if err == nil && code != want {
		err = fmt.Errorf("exit code %d", code)
	}
	return err
}

// until PATTERN COMMAND... repeats a command until it succeeds and its output matches a regular expression.
func (s *script) until(args []string) error {
	return eventually(func() error {
		code, err := s.runCommand(args[1:])
		if err == nil && code != 0 {
			err = fmt.Errorf("exit code %d", code)
		}
		if err != nil {
			return err
		}
		return match(false, s.stdout, args[0])
	})
}

// empty FOLDER removes a folder and its contents.
func (s *script) empty(args []string) error { return os.RemoveAll(s.path(args[0])) }

// edit FILE OLD NEW replaces each occurrence of a text in a file, which must contain it.
func (s *script) edit(args []string) error {
	file, from, to := args[0], args[1], args[2]
	path := s.path(file)
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if !bytes.Contains(data, []byte(from)) {
		return fmt.Errorf("%s does not hold %q", file, from)
	}
	return os.WriteFile(path, bytes.ReplaceAll(data, []byte(from), []byte(to)), 0o600)
}

// pause DURATION waits for a documented limit to pass, such as the 3 s of promise P6.
func (s *script) pause(args []string) error {
	d, err := time.ParseDuration(args[0])
	if err == nil {
		<-time.After(d)
	}
	return err
}

// eventually repeats a check until it succeeds, at most for waitLimit. It polls, because another process cannot signal
// its changes.
func eventually(check func() error) error {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	timeout := time.After(waitLimit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-timeout:
			return fmt.Errorf("timed out after %s: %w", waitLimit, err)
		}
	}
}
