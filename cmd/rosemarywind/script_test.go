package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// patience bounds each wait of a script.
const patience = 20 * time.Second

// script runs one file: a command on each line, in the syntax of testscript.
type script struct {
	t         testing.TB
	text      string
	folder    string
	bin       string
	ip        string
	vars      map[string]string
	tokens    map[string]string // written by cluster only, read by the load
	stdout    string
	stderr    string
	processes map[string]*child
	started   []string
	journal   *journal
	forwards  map[string]*forwarder
}

func newScript(t testing.TB, file, bin string, number int) *script {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	// An address of its own for each script, and for each run of the tests, keeps ports from clashing.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, number)
	tour, err := filepath.Abs("../../tour")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{
		t: t, text: string(data), folder: t.TempDir(), bin: bin, ip: ip, vars: map[string]string{"ip": ip, "tour": tour}, tokens: map[string]string{},
		processes: map[string]*child{}, forwards: map[string]*forwarder{},
	}
	s.journal = newJournal(s)
	t.Cleanup(s.end)
	return s
}

// end stops what the script left running, and prints the ends of the logs after a failure.
func (s *script) end() {
	for _, f := range s.forwards {
		f.close()
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

func (s *script) run() {
	number := 0
	for line := range strings.Lines(s.text) {
		number++
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "-- ") && strings.HasSuffix(line, " --") {
			return
		}
		words := s.words(line)
		if len(words) == 0 {
			continue
		}
		began := time.Now()
		neg := words[0] == "!"
		if neg {
			words = words[1:]
		}
		if err := s.do(neg, words[0], words[1:]); err != nil {
			s.t.Fatalf("line %d, %s: %v\nstdout: %s\nstderr: %s", number, line, err, s.stdout, s.stderr)
		}
		s.t.Logf("%6.2f s  %s", time.Since(began).Seconds(), line)
	}
}

var variable = regexp.MustCompile(`\$\w+`)

// words splits a line at white space outside single quotes, and replaces variables outside of them.
func (s *script) words(line string) (words []string) {
	if strings.HasPrefix(line, "#") {
		return nil
	}
	word, open := "", false
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			word, open = word+part, true
			continue
		}
		for k, w := range strings.Split(part, " ") {
			if k > 0 && open {
				words = append(words, word)
				word, open = "", false
			}
			if w != "" {
				word += variable.ReplaceAllStringFunc(w, func(v string) string { return s.vars[v[1:]] })
				open = true
			}
		}
	}
	if open {
		words = append(words, word)
	}
	return words
}

func (s *script) do(neg bool, name string, args []string) error {
	switch name {
	case "exec":
		return s.exec(neg, args)
	case "exits":
		return s.exits(args)
	case "until":
		return s.until(args)
	case "stdout":
		return match(neg, s.stdout, args[0])
	case "stderr":
		return match(neg, s.stderr, args[0])
	case "empty":
		return os.RemoveAll(filepath.Join(s.folder, args[0]))
	case "edit":
		return s.edit(args[0], args[1], args[2])
	case "pause":
		return s.pause(args[0])
	}
	if f, ok := s.commands()[name]; ok {
		return f(args)
	}
	return fmt.Errorf("unknown command %q", name)
}

func match(neg bool, text, pattern string) error {
	if regexp.MustCompile(pattern).MatchString(text) == neg {
		return fmt.Errorf("match of %q is %t", pattern, neg)
	}
	return nil
}

// command returns a command of the system, or of the machine, in the script's folder.
func (s *script) command(args []string) *exec.Cmd {
	path := filepath.Join(s.bin, args[0])
	if _, err := os.Lstat(path); err != nil {
		path = args[0]
	}
	c := exec.Command(path, args[1:]...)
	c.Dir = s.folder
	// The race detector waits for a second at the exit of a process unless it is told not to.
	c.Env = append(os.Environ(), "ROSEMARYWIND_SETTINGS="+filepath.Join(s.folder, "op.toml"), "GORACE=atexit_sleep_ms=0",
		"PATH="+s.bin+":"+os.Getenv("PATH"))
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

func (s *script) exec(neg bool, args []string) error {
	code, err := s.call(args)
	if err == nil && (code != 0) != neg {
		err = fmt.Errorf("exit code %d", code)
	}
	return err
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

// edit FILE OLD NEW replaces a text in a file.
func (s *script) edit(file, from, to string) error {
	path := filepath.Join(s.folder, file)
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
func (s *script) pause(text string) error {
	d, err := time.ParseDuration(text)
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
