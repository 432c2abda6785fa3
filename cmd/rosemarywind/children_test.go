package main

import (
	"bytes"
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// tailBytes of each log are printed after a failure.
const tailBytes = 6 << 10

// child is one process of the system.
type child struct {
	cmd  *exec.Cmd
	log  *record
	done chan struct{}
	code int
}

// record keeps what a process logs and wakes who waits for a text in it.
type record struct {
	mutex   sync.Mutex
	text    bytes.Buffer
	changed chan struct{}
}

func newRecord() *record { return &record{changed: make(chan struct{})} }

// Write implements io.Writer.
func (r *record) Write(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
	return r.text.Write(p)
}

func (r *record) look() (text string, changed <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.String(), r.changed
}

func (r *record) tail() string {
	text, _ := r.look()
	return text[max(0, len(text)-tailBytes):]
}

// start NAME... starts processes by their settings; a process that ended may be started again.
func (s *script) start(names []string) error {
	for _, name := range names {
		c := s.command([]string{"rosemarywind", roleOf(name), "--settings", name + ".toml"})
		if roleOf(name) == "standin" {
			c = s.command([]string{"standin", "--settings", name + ".toml"})
		}
		p := &child{cmd: c, log: newRecord(), done: make(chan struct{})}
		c.Stdout, c.Stderr = p.log, p.log
		if err := c.Start(); err != nil {
			return err
		}
		go func() {
			defer close(p.done)
			var exit *exec.ExitError
			if errors.As(c.Wait(), &exit) {
				p.code = exit.ExitCode()
			}
		}()
		if s.processes[name] == nil {
			s.started = append(s.started, name)
		}
		s.processes[name] = p
	}
	return nil
}

// roleOf returns the role by the first letter of a name: c1, e1, w1 and s1.
func roleOf(name string) string {
	switch name[0] {
	case 'c':
		return "control"
	case 'e':
		return "entry"
	case 'w':
		return "agent"
	}
	return "standin"
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT,
}

// signal SIGNAL NAME... sends a signal; a killed process has ended when it returns.
func (s *script) signal(args []string) error {
	for _, name := range args[1:] {
		p := s.processes[name]
		if p == nil {
			return fmt.Errorf("%s was not started", name)
		}
		if err := p.cmd.Process.Signal(signals[args[0]]); err != nil {
			return err
		}
		if args[0] == "kill" {
			<-p.done
		}
	}
	return nil
}

// ended CODE NAME... waits for the ends of processes.
func (s *script) ended(args []string) error {
	for _, name := range args[1:] {
		p := s.processes[name]
		select {
		case <-p.done:
		case <-time.After(patience):
			return fmt.Errorf("%s has not ended within %s", name, patience)
		}
		if got := fmt.Sprint(p.code); got != args[0] {
			return fmt.Errorf("%s ended with %s", name, got)
		}
	}
	return nil
}

// logged NAME TEXT waits for a text in the log of a process.
func (s *script) logged(args []string) error {
	p, bound := s.processes[args[0]], time.After(patience)
	for {
		text, changed := p.log.look()
		if strings.Contains(text, args[1]) {
			return nil
		}
		select {
		case <-changed:
		case <-bound:
			return fmt.Errorf("%s did not log %q within %s", args[0], args[1], patience)
		}
	}
}
