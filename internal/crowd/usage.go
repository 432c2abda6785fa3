package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process uses; it is immutable.
type Usage struct {
	peakBytes int
	sockets   int
}

// UsageOf returns what the process with the given id uses.
func UsageOf(pid int) (u Usage, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("usage of process %d: %w", pid, err)
		}
	}()
	folder := fmt.Sprintf("/proc/%d/", pid)
	text, err := os.ReadFile(folder + "status")
	if err != nil {
		return u, err
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	peak, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	peakKB, err := strconv.Atoi(peak)
	if err != nil {
		return u, err
	}
	u.peakBytes = peakKB << 10
	files, err := os.ReadDir(folder + "fd")
	if err != nil {
		return u, err
	}
	for _, f := range files {
		if link, _ := os.Readlink(folder + "fd/" + f.Name()); strings.HasPrefix(link, "socket:") {
			u.sockets++
		}
	}
	return u, nil
}

// PeakBytes returns the most memory that the process has used since its start.
func (u Usage) PeakBytes() int { return u.peakBytes }

// Sockets returns the number of sockets that are open.
func (u Usage) Sockets() int { return u.sockets }

// String returns both figures.
func (u Usage) String() string {
	return fmt.Sprintf("peak %d MB, %d sockets", u.peakBytes>>20, u.sockets)
}
