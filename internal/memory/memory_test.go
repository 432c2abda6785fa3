package memory_test

import (
	"runtime/debug"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/memory"
)

func systemOf(files map[string]string) fstest.MapFS {
	system := fstest.MapFS{}
	for name, text := range files {
		system[name] = &fstest.MapFile{Data: []byte(text)}
	}
	return system
}

// Guards against a process that takes the memory of its host for its own although a control group leaves it less.
func TestAvailable(t *testing.T) {
	const host, own = "MemFree: 5 kB\nMemTotal:  2048 kB\n", "0::/a/b\n"
	for name, c := range map[string]struct {
		files map[string]string
		want  int64
	}{
		"nothing known":        {nil, 0},
		"host":                 {map[string]string{"proc/meminfo": host}, 2 << 20},
		"own group":            {map[string]string{"proc/meminfo": host, "proc/self/cgroup": own, "sys/fs/cgroup/a/b/memory.max": "1000\n"}, 1000},
		"group above":          {map[string]string{"proc/meminfo": host, "proc/self/cgroup": own, "sys/fs/cgroup/a/memory.max": "2000\n", "sys/fs/cgroup/a/b/memory.max": "max\n"}, 2000},
		"group above the host": {map[string]string{"proc/meminfo": host, "proc/self/cgroup": own, "sys/fs/cgroup/a/b/memory.max": "9999999999\n"}, 2 << 20},
		"group at the root":    {map[string]string{"proc/self/cgroup": "0::/\n", "sys/fs/cgroup/memory.max": "3000\n"}, 3000},
		"earlier kind":         {map[string]string{"proc/meminfo": host, "proc/self/cgroup": "4:memory:/a\n"}, 2 << 20},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.want, memory.Available(systemOf(c.files))) })
	}
}

// Guards against a limit of 0 that makes the collector run all the time.
func TestCollectWithin(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	memory.CollectWithin(0)
	assert.Equal(t, before, debug.SetMemoryLimit(-1))
	memory.CollectWithin(1 << 30)
	assert.EqualValues(t, 3<<28, debug.SetMemoryLimit(-1))
}
