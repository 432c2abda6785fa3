package lease

// FencingToken numbers the successive holders of a resource; a larger token invalidates all smaller ones.
type FencingToken uint64

// Next returns the smallest token that supersedes t.
func (t FencingToken) Next() FencingToken { return t + 1 }

// Supersedes reports whether t invalidates other.
func (t FencingToken) Supersedes(other FencingToken) bool { return t > other }
