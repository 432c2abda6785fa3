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
	pageBytes = 4096                  // Linux reports resident memory in pages, which have 4 KiB on amd64

	// The indexes of fields in /proc/PID/stat, counted from the field after the first ") ", which ends the command name
	// unless the name itself contains it.
	statUserTime      = 11
	statSystemTime    = 12
	statResidentPages = 21
)

// Usage is the processor time and the resident memory that a process uses.
type Usage struct {
	processorTime time.Duration
	residentBytes int64
}

// ReadUsage reads the usage of a process from /proc/PID/stat. The processor time has a resolution of 10 ms.
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
	if !ok || len(fields) <= statResidentPages {
		return Usage{}, fmt.Errorf("unexpected format of the stat file")
	}
	var numbers [3]int64
	for i, index := range []int{statUserTime, statSystemTime, statResidentPages} {
		if numbers[i], err = strconv.ParseInt(fields[index], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{processorTime: time.Duration(numbers[0]+numbers[1]) * clockTick, residentBytes: numbers[2] * pageBytes}, nil
}

// ProcessorTime returns the user and system time used since the process started.
func (u Usage) ProcessorTime() time.Duration { return u.processorTime }

// ResidentBytes returns the size of the resident memory at the time of reading.
func (u Usage) ResidentBytes() int64 { return u.residentBytes }
