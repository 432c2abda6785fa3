package main

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/crowd"
)

const (
	// crowdMemoryBytes is the memory of the host of each process, that of a node in the size to design for.
	crowdMemoryBytes = 96 << 20
	// crowdSize is the number of clients of a crowd.
	crowdSize = 300
	// crowdHeadBytes and crowdBodyBytes are sizes up to which heads and bodies are legal.
	crowdHeadBytes = 60_000
	crowdBodyBytes = 1 << 20
	// crowdEndlessBytes is how much a crowd sends of what has no end.
	crowdEndlessBytes = 2 << 20
	// crowdPieceBytes and crowdChunkBytes are the sizes in which crowds send bodies.
	crowdPieceBytes = 32 << 10
	crowdChunkBytes = 16
	// crowdMissingBytes is how much of a body is missing where a crowd stops short of its end.
	crowdMissingBytes = 64
	// crowdUnreadBytes is how much of requests a client sends whose answers it does not read.
	crowdUnreadBytes = 8 << 20
	// crowdLargeHeadBytes is the size of a head far beyond the limit.
	crowdLargeHeadBytes = 900 << 10
	// crowdDescriptors is the number of descriptors of each process on a host that has few.
	crowdDescriptors = 160
	// crowdExtensionBytes is the size of what a crowd adds to each chunk.
	crowdExtensionBytes = 2 << 10
)

// The numbers of the first scripts of these tests, which are above those of the scenarios.
const (
	togetherScript = 100
	crowdScript    = 101
	linesScript    = 130
	unreadScript   = 140
	smallScript    = 150

	descriptorScript = 180
)

// crowdLimits are the lines by which the processes of a crowd's test hold less for their clients than by default.
var crowdLimits = []string{"e:limits.buffered_bytes = 16777216", "e:limits.connections = 128", "c:limits.buffered_bytes = 8388608", "c:limits.connections = 128"}

// smallHosts are the lines that tell the processes what memory their hosts have.
var smallHosts = []string{
	fmt.Sprintf("e:limits.memory_bytes = %d", crowdMemoryBytes), fmt.Sprintf("c:limits.memory_bytes = %d", crowdMemoryBytes),
	fmt.Sprintf("w:limits.memory_bytes = %d", crowdMemoryBytes),
}

// crowdPort is a port that a crowd calls.
type crowdPort struct {
	name    string
	address string
	path    string
	token   string
}

func (s *script) crowdPorts() []crowdPort {
	return []crowdPort{
		{"callers", s.address(entryPort + 1), "/w/previews/print", s.tokens["previews"]},
		{"entry monitor", s.address(operatorPort + 11), "/health", ""},
		{"agent monitor", s.address(operatorPort + 31), "/health", ""},
		{"operators", s.address(operatorPort + 1), "/v1/jobs", s.tokens["previews"]},
	}
}

// crowdKinds returns what each crowd sends.
func crowdKinds() map[string]crowd.Kind {
	return map[string]crowd.Kind{
		"large heads": crowd.LargeHead(crowdLargeHeadBytes), "endless heads": crowd.EndlessHead(crowdEndlessBytes),
		"unfinished heads":           crowd.UnfinishedHead(),
		"empty lines":                crowd.EmptyLines(crowdEndlessBytes),
		"empty lines after requests": crowd.EmptyLinesAfterRequest(crowdEndlessBytes),
		"bodies":                     crowd.Body(crowdBodyBytes, 0),
		"unfinished bodies":          crowd.Body(crowdBodyBytes, crowdMissingBytes),
		"unfinished pieces":          crowd.Body(crowdPieceBytes, crowdMissingBytes),
		"large chunks":               crowd.Chunks(crowdPieceBytes),
		"unfinished large chunks":    crowd.UnfinishedChunks(crowdPieceBytes),
		"small chunks":               crowd.Chunks(crowdChunkBytes),
		"unfinished small chunks":    crowd.UnfinishedChunks(crowdChunkBytes),
		"chunk extensions":           crowd.ChunksWithExtensions(crowdChunkBytes, crowdExtensionBytes),
		"trailers":                   crowd.ChunksWithTrailer(crowdPieceBytes, crowdEndlessBytes),
		"second requests":            crowd.SecondRequest(),
		"silent connections":         crowd.Silence(),
	}
}

// manyLines returns crowds that send requests of legal size whose heads consist of short lines.
func manyLines() map[string]crowd.Kind {
	kinds := map[string]crowd.Kind{}
	for _, shape := range crowd.LineShapes() {
		kinds[string(shape)] = crowd.ManyLines(shape)
	}
	return kinds
}

// unreadAnswers returns a crowd that does not read the answers to its requests.
func unreadAnswers() map[string]crowd.Kind {
	return map[string]crowd.Kind{"requests": crowd.UnreadAnswers(crowdUnreadBytes)}
}

// allCrowdKinds returns a mixture of what all crowds send.
func allCrowdKinds() crowd.Kind {
	var all []crowd.Kind
	for _, kinds := range []map[string]crowd.Kind{crowdKinds(), manyLines(), unreadAnswers()} {
		for _, name := range slices.Sorted(maps.Keys(kinds)) {
			all = append(all, kinds[name])
		}
	}
	return crowd.Mixture(all...)
}

// assertCrowdsHeld sends one crowd after another to each port of a new system. While the connections of a crowd stay
// open, no process may have ended or exceed its memory or descriptors, and an ordinary request has to be answered.
func assertCrowdsHeld(t *testing.T, first int64, settings []string, kinds map[string]crowd.Kind) {
	t.Helper()
	path := buildPrograms(t)
	for i, name := range slices.Sorted(maps.Keys(kinds)) {
		t.Run(name, func(t *testing.T) {
			s := newCrowdedCluster(t, path, first+int64(i), settings)
			for _, p := range s.crowdPorts() {
				t.Run(p.name, func(t *testing.T) {
					c := crowd.New(p.target(), kinds[name], crowdSize)
					defer c.Close()
					s.assertHeld(t, p)
				})
			}
		})
	}
}

// Guards against clients that end a process, or keep others from it, by what they send.
func TestCrowds(t *testing.T) { assertCrowdsHeld(t, crowdScript, crowdLimits, crowdKinds()) }

// Guards against processes that hold requests of legal size in many times their size, because their heads consist of
// short or odd lines.
func TestCrowdsOfManyLines(t *testing.T) { assertCrowdsHeld(t, linesScript, crowdLimits, manyLines()) }

// Guards against processes whose connections are used up by clients that do not read their answers.
func TestCrowdsOfUnreadAnswers(t *testing.T) {
	assertCrowdsHeld(t, unreadScript, crowdLimits, unreadAnswers())
}

// Guards against processes that keep to the limits that they have by default, and with them exceed the memory of a
// small host.
func TestCrowdsOnSmallHosts(t *testing.T) {
	kinds := manyLines()
	maps.Copy(kinds, crowdKinds())
	assertCrowdsHeld(t, smallScript, smallHosts, kinds)
}

// Guards against crowds that come together, from several addresses: each is held by itself, but not their sum.
func TestCrowdsTogether(t *testing.T) {
	s := newCrowdedCluster(t, buildPrograms(t), togetherScript, crowdLimits)
	ports := s.crowdPorts()
	crowds := make([]*crowd.Crowd, len(ports))
	var g sync.WaitGroup
	for i, p := range ports {
		g.Go(func() { crowds[i] = crowd.New(p.target(), allCrowdKinds(), crowdSize, crowd.Addresses()...) })
	}
	g.Wait()
	for _, c := range crowds {
		defer c.Close()
	}
	for _, p := range ports {
		t.Run(p.name, func(t *testing.T) { s.assertHeld(t, p) })
	}
}

// Guards against processes whose descriptors are used up by open connections, although fewer are open than their settings
// allow.
func TestCrowdsBeyondDescriptors(t *testing.T) {
	path := buildPrograms(t)
	limitDescriptors(t, path)
	for i, kind := range []crowd.Kind{crowd.Idle(), crowd.Silence()} {
		t.Run([]string{"idle", "silent"}[i], func(t *testing.T) {
			s := newCrowdedCluster(t, path, descriptorScript+int64(i), nil)
			for _, p := range s.crowdPorts() {
				t.Run(p.name, func(t *testing.T) {
					c := crowd.New(p.target(), kind, crowdSize)
					defer c.Close()
					s.assertHeld(t, p)
				})
			}
		})
	}
}

// limitDescriptors replaces the program in path by one that starts it with few descriptors.
func limitDescriptors(t *testing.T, path string) {
	t.Helper()
	program, limited := filepath.Join(path, "rosemarywind"), filepath.Join(path, "unlimited")
	require.NoError(t, os.Rename(program, limited))
	text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", crowdDescriptors, limited)
	require.NoError(t, os.WriteFile(program, []byte(text), 0o700))
}

// buildPrograms builds the programs that operators run, without the race detector, which needs several times the memory.
func buildPrograms(t *testing.T) (path string) {
	t.Helper()
	path = t.TempDir()
	for _, name := range []string{"rosemarywind", "standin"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(path, name), "../"+name).CombinedOutput()
		require.NoError(t, err, string(out))
	}
	return path
}

// newCrowdedCluster starts a small system of the programs in path, whose settings have further lines.
func newCrowdedCluster(t *testing.T, path string, number int64, lines []string) *script {
	t.Helper()
	t.Setenv("PATH", path+string(os.PathListSeparator)+os.Getenv("PATH"))
	s := newScript(t, t.TempDir(), number)
	require.NoError(t, s.cluster(append([]string{"1", "1", "1"}, lines...)))
	require.NoError(t, s.boot(nil))
	return s
}

// target returns what the clients of a crowd send to the port.
func (p crowdPort) target() crowd.Target {
	lines := []string{"Host: " + p.address}
	if p.token != "" {
		lines = append(lines, "Authorization: Bearer "+p.token)
	}
	return crowd.NewTarget(p.address, http.MethodPost, p.path).WithLines(lines...).WithLimits(crowdHeadBytes, crowdBodyBytes)
}

// assertHeld checks all processes before and after an ordinary request to a port that a crowd calls. The request is
// repeated as long as it is refused.
func (s *script) assertHeld(t *testing.T, p crowdPort) {
	t.Helper()
	s.assertWithinLimits(t)
	assert.NoError(t, eventually(p.answers))
	s.assertWithinLimits(t)
}

// answers returns an error unless an ordinary request is answered with success.
func (p crowdPort) answers() (err error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.address+p.path, nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+p.token)
	client := &http.Client{Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, answer.Body.Close()) }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}

// assertWithinLimits checks that no process has ended, that none has exceeded the memory of its host, and that none has
// more sockets than its two ports may have connections.
func (s *script) assertWithinLimits(t *testing.T) {
	t.Helper()
	for _, name := range s.started {
		p := s.processes[name]
		select {
		case <-p.done:
			assert.Fail(t, "process ended", "%s: %s", name, p.cmd.ProcessState)
			continue
		default:
		}
		u, err := crowd.UsageOf(p.cmd.Process.Pid)
		require.NoError(t, err)
		assert.Less(t, u.PeakBytes(), crowdMemoryBytes, name)
		assert.Less(t, u.Sockets(), 2*crowdSize, name)
		t.Log(name, u)
	}
}
