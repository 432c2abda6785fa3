package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTick = 10 * time.Millisecond // Linux reports processor time in units of 1/100 s
	pageBytes = 4096

	// The positions of fields in /proc/PID/stat after the command's closing parenthesis.
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21
)

// Usage is the processor time and the resident memory of a process.
type Usage struct {
	processor time.Duration
	resident  int64
}

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (u Usage, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read usage of process %d: %w", pid, err)
		}
	}()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= statResident {
		return Usage{}, fmt.Errorf("unexpected format")
	}
	var numbers [3]int64
	for i, at := range []int{statUserTime, statSystemTime, statResident} {
		if numbers[i], err = strconv.ParseInt(fields[at], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{processor: time.Duration(numbers[0]+numbers[1]) * clockTick, resident: numbers[2] * pageBytes}, nil
}

// Processor returns the processor time since the process started.
func (u Usage) Processor() time.Duration { return u.processor }

// Resident returns the resident memory in bytes.
func (u Usage) Resident() int64 { return u.resident }
