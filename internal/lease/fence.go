package lease

// Fence is a fencing number; a larger one makes all smaller ones void.
type Fence uint64

// Next returns the fence that voids f.
func (f Fence) Next() Fence { return f + 1 }

// Voids reports whether f makes other void.
func (f Fence) Voids(other Fence) bool { return f > other }
