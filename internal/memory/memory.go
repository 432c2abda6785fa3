package memory

import (
	"io/fs"
	"math"
	"path"
	"runtime/debug"
	"strconv"
	"strings"
)

// heapShare is the part of a process's memory from which on the garbage collector frees memory more often.
const heapShare = 0.75

// Files below the root of the file system. Each control group limits those below it.
const (
	hostFile       = "proc/meminfo"
	ownGroupFile   = "proc/self/cgroup"
	groupsFolder   = "sys/fs/cgroup"
	groupLimitFile = "memory.max"
)

// CollectWithin makes the garbage collector keep the process within the given number of bytes; 0 stands for no limit.
func CollectWithin(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(bytes)))
	}
}

// Available returns the bytes of the host's memory, or the least limit of the control groups of this process if that is
// less; 0 if none is known. The file system is that of the host, from its root.
func Available(system fs.FS) int64 {
	least := int64(math.MaxInt64)
	for _, n := range append(groupLimits(system), hostBytes(system)) {
		if n > 0 {
			least = min(least, n)
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// hostBytes returns the memory of the host, 0 if it is not known.
func hostBytes(system fs.FS) int64 {
	text, _ := fs.ReadFile(system, hostFile)
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "MemTotal:" {
			kib, _ := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// groupLimits returns the limits of the control group of this process and of those above it.
func groupLimits(system fs.FS) (limits []int64) {
	text, _ := fs.ReadFile(system, ownGroupFile)
	for line := range strings.Lines(string(text)) {
		group, ok := strings.CutPrefix(strings.TrimSpace(line), "0::")
		for ok {
			limits = append(limits, groupLimit(system, group))
			ok, group = group != "/" && group != ".", path.Dir(group)
		}
	}
	return limits
}

// groupLimit returns the limit of one control group, 0 if it has none.
func groupLimit(system fs.FS, group string) int64 {
	text, err := fs.ReadFile(system, path.Join(groupsFolder, group, groupLimitFile))
	if err != nil {
		return 0
	}
	// A group without a limit holds the word max.
	n, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	return n
}
