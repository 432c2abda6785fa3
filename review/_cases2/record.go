package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	begun time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// add writes a line with the time since the beginning of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.out.WriteString(line)
	_ = r.out.Flush()
}

func (r *record) close() { _ = r.file.Close() }
