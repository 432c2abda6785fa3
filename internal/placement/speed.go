package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/speed"
)

// WithSpeeds returns a copy of the view with the estimated speeds of workers. A view without them counts all workers as
// normal.
func (v View) WithSpeeds(e speed.Estimates) View {
	v.speeds = e
	return v
}

// taskTime returns how long a task takes on the worker that takes the given time on a normal one.
func (w *workerState) taskTime(normal time.Duration) time.Duration {
	return time.Duration(float64(normal) / w.speed)
}

// slackShare is the share of a unit's slack that slow workers may take up. The rest is for waiting and for tasks that are
// longer than expected.
const slackShare = 0.5

// speedNeed says which workers suit a unit by their speed.
type speedNeed struct {
	fastest bool // the faster the better; otherwise the slowest from floor on
	floor   int  // lowest level on which the unit is expected to meet its objective; a normal one if it is already late
}

// chooseSpeedNeed returns which workers suit a unit. Urgent work gets the fastest ones; other work leaves them free as far as
// its slack allows.
func (u *unit) chooseSpeedNeed() speedNeed {
	switch {
	case u.queue.Priority() == 0:
		return speedNeed{fastest: true}
	case u.nextSlack < 0:
		return speedNeed{floor: math.MinInt}
	case u.slack < 0:
		return speedNeed{}
	}
	allowed := float64(u.duration) + slackShare*float64(u.nextSlack)
	return speedNeed{floor: speed.LevelOf(float64(u.duration) / max(allowed, 1))}
}

// rank returns the order of preference of a worker's level: lower ones first.
func (n speedNeed) rank(level int) int {
	switch {
	case n.fastest:
		return -level
	case level >= n.floor:
		return level
	}
	// Too slow: after all others, the fastest first.
	return tooSlow - level
}

// tooSlow is above any level.
const tooSlow = 1 << 16

// bySpeed returns the subsets of a set to try for a gang, in order of preference. Each contains the one before, so that a
// gang is packed tightly on the workers that suit it as well as the least suitable one that it needs. The last subset is
// the whole set; workers that the unit avoids are only there.
func (p *planner) bySpeed(u *unit, set []*workerState) (subsets [][]*workerState) {
	if !p.usesSpeeds(u) {
		return [][]*workerState{set}
	}
	var ranks []int
	for _, w := range set {
		ranks = append(ranks, u.speedNeed.rank(w.level))
	}
	slices.Sort(ranks)
	for _, limit := range slices.Compact(ranks) {
		var subset []*workerState
		for _, w := range set {
			if u.speedNeed.rank(w.level) <= limit && !w.quarantined && !u.avoids(w) {
				subset = append(subset, w)
			}
		}
		subsets = append(subsets, subset)
	}
	return append(subsets, set)
}

// assignBySpeed assigns all tasks of a gang to the workers of a set whose speeds suit it best. It returns nil if they do
// not fit.
func (p *planner) assignBySpeed(u *unit, set []*workerState) *assignment {
	for _, subset := range p.bySpeed(u, set) {
		as := p.assignGang(u, subset)
		if as == nil {
			continue
		}
		as.rank = p.worstRank(u, as)
		return as
	}
	return nil
}

// worstRank returns the rank of the worker whose speed suits the unit least.
func (p *planner) worstRank(u *unit, as *assignment) int {
	if !p.usesSpeeds(u) {
		return 0
	}
	worst := math.MinInt
	for _, w := range as.workers {
		worst = max(worst, u.speedNeed.rank(w.level))
	}
	return worst
}

// usesSpeeds reports whether the speeds of workers matter for a unit.
func (p *planner) usesSpeeds(u *unit) bool { return p.view.speeds.Differ() && !u.step.LongRunning() }

// compareAssignments orders the placements of a gang on two sets. Where their speeds suit equally, the cost decides, which
// counts packing and workers that the unit avoids. Otherwise fewer workers to avoid come first, then the better speeds.
func compareAssignments(a, b *assignment) int {
	if a.rank == b.rank {
		return cmp.Compare(a.cost, b.cost)
	}
	return cmp.Or(cmp.Compare(a.avoided, b.avoided), cmp.Compare(a.rank, b.rank))
}

// compareSpeed orders two workers by how well their speed suits a unit.
func (p *planner) compareSpeed(u *unit, a, b *workerState) int {
	if !p.usesSpeeds(u) {
		return 0
	}
	return u.speedNeed.rank(a.level) - u.speedNeed.rank(b.level)
}
