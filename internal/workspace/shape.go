package workspace

import "fmt"

// Adjacency says how close the members of a gang must be.
type Adjacency string

// The degrees of adjacency, from the closest to none.
const (
	SameWorker Adjacency = "worker"
	SameRack   Adjacency = "rack"
	SameZone   Adjacency = "availability-zone"
	Anywhere   Adjacency = "any"
)

// Shape is an amount of accelerators: a number of members, each with accelerators on one worker.
type Shape struct {
	members      int
	accelerators int
	adjacency    Adjacency
}

// maxCount keeps the total of a shape far from an overflow, which would make an impossible shape look small.
const maxCount = 1 << 20

// NewShape returns a shape; it fails when a count is below 1 or above 1,048,576, or the adjacency is unknown.
func NewShape(members, accelerators int, adjacency Adjacency) (s Shape, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("shape %dx%d %s: %w", members, accelerators, adjacency, err)
		}
	}()
	if members < 1 {
		return Shape{}, fmt.Errorf("members must be at least 1")
	}
	if accelerators < 1 {
		return Shape{}, fmt.Errorf("accelerators per member must be at least 1")
	}
	if members > maxCount || accelerators > maxCount {
		return Shape{}, fmt.Errorf("members and accelerators must be at most %d", maxCount)
	}
	switch adjacency {
	case SameWorker, SameRack, SameZone, Anywhere:
		return Shape{members: members, accelerators: accelerators, adjacency: adjacency}, nil
	default:
		return Shape{}, fmt.Errorf("adjacency must be one of worker, rack, availability-zone, any")
	}
}

// Members returns the number of members.
func (s Shape) Members() int { return s.members }

// Accelerators returns the number of accelerators of each member.
func (s Shape) Accelerators() int { return s.accelerators }

// Adjacency returns how close the members must be.
func (s Shape) Adjacency() Adjacency { return s.adjacency }

// Total returns the number of accelerators of all members.
func (s Shape) Total() int { return s.members * s.accelerators }

// String returns the shape as members x accelerators and adjacency.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d/%s", s.members, s.accelerators, s.adjacency)
}
