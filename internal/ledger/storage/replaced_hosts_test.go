package storage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Guards against a host that is gone for good and keeps its vote, or one that has caught up and has none, so that a loss
// of disks that is to be tolerated leaves no majority.
func TestReplacedHosts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 6).Draw(t, "size")
		r := newReplacement(t, size, rapid.SampledFrom([]int{0, 1, 4}).Draw(t, "callers"), rapid.Uint64().Draw(t, "seed"))
		for range size - initialVoters {
			r.addHost()
		}
		r.runFor(r.tolerance.catchUp)
		r.strict = rapid.Bool().Draw(t, "strict")
		for range rapid.IntRange(0, 8).Draw(t, "steps") {
			disturb(t, r)
			r.runFor(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		if rapid.Bool().Draw(t, "at a change") {
			runUntilChange(r, 10*time.Second)
		}
		lost := pickHosts(r.soundHosts(), r.sparedFaults(), rapid.Bool().Draw(t, "oldest"), r.random)
		r.requireSurvival(lost, time.Duration(rapid.IntRange(0, 3000).Draw(t, "down"))*time.Millisecond)
	})
}

// disturb replaces, restarts, wipes or cuts off a host, if that is tolerated at this time.
func disturb(t *rapid.T, r *replacement) {
	kind := rapid.SampledFrom([]string{"planned", "unplanned", "restart", "wipe", "cut", "none"}).Draw(t, "kind")
	sound := r.soundHosts()
	h := sound[rapid.IntRange(0, len(sound)-1).Draw(t, "host")]
	if l := r.leaseHolder(); l != nil && !r.isFaulty(l) && rapid.Bool().Draw(t, "leader") {
		h = l
	}
	d := time.Duration(rapid.IntRange(0, 5000).Draw(t, "duration")) * time.Millisecond
	switch {
	case kind == "planned" && len(r.timers) == 0:
		r.replacePlanned(h)
	case r.sparedFaults() < 1:
	case kind == "unplanned":
		r.replaceUnplanned(h)
	case kind == "restart":
		r.restart(h, d)
	case kind == "wipe":
		r.wipe(h, d)
	case kind == "cut":
		r.cut(h, d)
	}
}

// runUntilChange runs the cluster until the leader has appended a membership change, or for at most d.
func runUntilChange(r *replacement, d time.Duration) {
	before := fmt.Sprint(latestMembership(r))
	r.runUntil(d, func() bool { return fmt.Sprint(latestMembership(r)) != before })
}

func latestMembership(r *replacement) ledger.Membership {
	if l := r.leaseHolder(); l != nil {
		return l.core.Membership()
	}
	return r.oracle.membership()
}

// Guards against joining hosts that never become voters because the leader commits new entries before they acknowledge
// the earlier ones.
func TestJoinUnderLoad(t *testing.T) {
	t.Parallel()
	for _, slower := range []time.Duration{10 * time.Millisecond, 30 * time.Millisecond} {
		for _, callers := range []int{1, 4, 16} {
			t.Run(fmt.Sprintf("%d callers and links that are %s slower", callers, slower), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(5) {
					assertJoined(t, joinUnderLoad(t, slower, callers, seed))
				}
			})
		}
	}
}

// joinUnderLoad runs three voters and two hosts that join over slower links for the time to catch up.
func joinUnderLoad(t *testing.T, slower time.Duration, callers int, seed uint64) *replacement {
	r := newReplacement(t, 5, callers, seed)
	random := rand.New(rand.NewPCG(seed, 2))
	r.delay = func(from, to string) time.Duration {
		d := time.Duration(random.Int64N(int64(time.Millisecond)))
		if isJoining(from) || isJoining(to) {
			d = slower
		}
		return d
	}
	r.addHost()
	r.addHost()
	r.runFor(r.tolerance.catchUp)
	return r
}

func isJoining(name string) bool { return name == "h4" || name == "h5" }

func assertJoined(t *testing.T, r *replacement) {
	t.Helper()
	require.Equal(t, 5, r.oracle.membership().Voters(), "voters\n%s", r.describe())
}
