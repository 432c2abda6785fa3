package workspace

import "fmt"

// Adjacency is the smallest unit of the fleet that all members of a gang must share.
type Adjacency string

// The adjacencies, from the strictest to none.
const (
	SameWorker Adjacency = "worker"
	SameRack   Adjacency = "rack"
	SameZone   Adjacency = "availability-zone"
	Anywhere   Adjacency = "any"
)

// Shape is a number of members that each need a number of accelerators on one worker, and their adjacency.
type Shape struct {
	members      int
	accelerators int
	adjacency    Adjacency
}

// maxShapeCount limits each count so that the total cannot overflow, which would make an impossible shape look small.
const maxShapeCount = 1 << 20

// NewShape returns a shape; it fails if a count is below 1 or above 1,048,576, or if the adjacency is unknown.
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
	if members > maxShapeCount || accelerators > maxShapeCount {
		return Shape{}, fmt.Errorf("members and accelerators must be at most %d", maxShapeCount)
	}
	switch adjacency {
	case SameWorker, SameRack, SameZone, Anywhere:
		return Shape{members: members, accelerators: accelerators, adjacency: adjacency}, nil
	default:
		return Shape{}, fmt.Errorf("adjacency must be one of worker, rack, availability-zone, any")
	}
}

// Members returns the number of members, at least 1.
func (s Shape) Members() int { return s.members }

// Accelerators returns the number of accelerators that each member needs, at least 1.
func (s Shape) Accelerators() int { return s.accelerators }

// Adjacency returns the unit of the fleet that all members must share, Anywhere for none.
func (s Shape) Adjacency() Adjacency { return s.adjacency }

// Total returns the number of accelerators of all members.
func (s Shape) Total() int { return s.members * s.accelerators }

// String returns the shape in the form MEMBERSxACCELERATORS/ADJACENCY.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d/%s", s.members, s.accelerators, s.adjacency)
}
