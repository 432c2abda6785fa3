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

// patience bounds each wait of a script.
const patience = 20 * time.Second

// script is the state of one script beside testscript's own.
type script struct {
	t         testing.TB
	ts        *testscript.TestScript
	folder    string
	ip        string
	tokens    map[string]string // written by cluster only, read by the load
	stdout    string
	stderr    string
	processes map[string]*child
	started   []string
	journal   *journal
	relays    map[string]*impair.Relay
}

// scriptKey finds a script among the values of its testscript.
type scriptKey struct{}

// raceOptions keep the race detector from waiting for a second at the exit of each process.
const raceOptions = "atexit_sleep_ms=0"

// setup prepares the script of a testscript.
func setup(env *testscript.Env, number int64) {
	s := newScript(env.T().(testing.TB), env.WorkDir, number)
	env.Values[scriptKey{}] = s
	env.Setenv("ip", s.ip)
	env.Setenv("ROSEMARYWIND_SETTINGS", s.path("op.toml"))
	env.Setenv("GORACE", raceOptions)
}

// newScript returns the state of a script that works in folder. An address of its own for each number, and for each run
// of the tests, keeps ports from clashing.
func newScript(t testing.TB, folder string, number int64) *script {
	pid := os.Getpid()
	s := &script{
		t: t, folder: folder, ip: fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, number),
		tokens: map[string]string{}, processes: map[string]*child{}, relays: map[string]*impair.Relay{},
	}
	s.journal = newJournal(s)
	t.Cleanup(s.end)
	return s
}

// end stops what the script left running, and prints the ends of the logs after a failure.
func (s *script) end() {
	for _, r := range s.relays {
		r.Close()
	}
	for _, name := range s.started {
		p := s.processes[name]
		_ = p.cmd.Process.Kill()
		<-p.done
		if text, _ := p.log.look(); strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") {
			s.t.Errorf("%s: data race or panic", name)
		}
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", name, p.log.tail())
		}
	}
}

// adapt makes a command of testscript from one that keeps its output in the script.
func adapt(run func(s *script, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("the command cannot be negated")
		}
		s := ts.Value(scriptKey{}).(*script)
		s.ts, s.stdout, s.stderr = ts, "", ""
		err := run(s, args)
		if s.stdout+s.stderr != "" {
			_, _ = io.WriteString(ts.Stdout(), s.stdout)
			_, _ = io.WriteString(ts.Stderr(), s.stderr)
		}
		ts.Check(err)
	}
}

func match(neg bool, text, pattern string) error {
	if regexp.MustCompile(pattern).MatchString(text) == neg {
		return fmt.Errorf("match of %q is %t", pattern, neg)
	}
	return nil
}

// command returns a command of the system, or of the machine, in the script's folder.
func (s *script) command(args []string) *exec.Cmd {
	c := exec.Command(args[0], args[1:]...)
	c.Dir = s.folder
	c.Env = append(os.Environ(), "ROSEMARYWIND_SETTINGS="+s.path("op.toml"), "GORACE="+raceOptions)
	return c
}

// call runs a command and keeps its output.
func (s *script) call(args []string) (code int, err error) {
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

// exits CODE COMMAND... expects an exit code.
func (s *script) exits(args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	code, err := s.call(args[1:])
	if err == nil && code != want {
		err = fmt.Errorf("exit code %d", code)
	}
	return err
}

// until PATTERN COMMAND... repeats a command until it succeeds and its output matches.
func (s *script) until(args []string) error {
	return eventually(func() error {
		code, err := s.call(args[1:])
		if err == nil && code != 0 {
			err = fmt.Errorf("exit code %d", code)
		}
		if err != nil {
			return err
		}
		return match(false, s.stdout, args[0])
	})
}

// empty FOLDER removes a folder with all that it holds.
func (s *script) empty(args []string) error { return os.RemoveAll(s.path(args[0])) }

// edit FILE OLD NEW replaces a text in a file.
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

// pause lets a documented bound pass, such as the 3 s of P6.
func (s *script) pause(args []string) error {
	d, err := time.ParseDuration(args[0])
	if err == nil {
		<-time.After(d)
	}
	return err
}

// eventually repeats a check of another process, which gives no notice, until it succeeds.
func eventually(check func() error) error {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	bound := time.After(patience)
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-bound:
			return fmt.Errorf("not within %s: %w", patience, err)
		}
	}
}
