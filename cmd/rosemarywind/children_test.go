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

// logTailBytes is how much of the end of each process's log is printed after a failure.
const logTailBytes = 6 << 10

// child is a process that a script started; code is its exit code once done is closed.
type child struct {
	cmd  *exec.Cmd
	log  *processLog
	done chan struct{}
	code int
}

// processLog stores the output of a process; changed is closed and replaced at each write.
type processLog struct {
	mutex   sync.Mutex
	text    bytes.Buffer
	changed chan struct{}
}

func newProcessLog() *processLog { return &processLog{changed: make(chan struct{})} }

// Write implements io.Writer.
func (l *processLog) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
	return l.text.Write(p)
}

// contents returns the output so far, and a channel that is closed at the next write.
func (l *processLog) contents() (text string, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String(), l.changed
}

// tail returns the last logTailBytes of the output.
func (l *processLog) tail() string {
	text, _ := l.contents()
	return text[max(0, len(text)-logTailBytes):]
}

// start NAME... starts processes with their settings files. A process that ended can be started again.
func (s *script) start(names []string) error {
	for _, name := range names {
		c := s.command([]string{"rosemarywind", roleOf(name), "--settings", name + ".toml"})
		if roleOf(name) == "standin" {
			c = s.command([]string{"standin", "--settings", name + ".toml"})
		}
		p := &child{cmd: c, log: newProcessLog(), done: make(chan struct{})}
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

// roleOf returns the role for the first letter of a name: c for control, e for entry, w for agent, else standin.
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

// signal SIGNAL NAME... sends a signal to processes; after kill it waits until they have ended.
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

// ended CODE NAME... waits until processes have ended, and checks their exit code.
func (s *script) ended(args []string) error {
	for _, name := range args[1:] {
		p := s.processes[name]
		select {
		case <-p.done:
		case <-time.After(waitLimit):
			return fmt.Errorf("%s has not ended within %s", name, waitLimit)
		}
		if got := fmt.Sprint(p.code); got != args[0] {
			return fmt.Errorf("%s ended with exit code %s", name, got)
		}
	}
	return nil
}

// logged NAME TEXT waits until the log of a process contains a text.
func (s *script) logged(args []string) error {
	p, timeout := s.processes[args[0]], time.After(waitLimit)
	for {
		text, changed := p.log.contents()
		if strings.Contains(text, args[1]) {
			return nil
		}
		select {
		case <-changed:
		case <-timeout:
			return fmt.Errorf("%s did not log %q within %s", args[0], args[1], waitLimit)
		}
	}
}
