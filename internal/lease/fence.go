package lease

// FencingToken is a fencing number; a larger one makes all smaller ones void.
type FencingToken uint64

// Next returns the fence that voids f.
func (f FencingToken) Next() FencingToken { return f + 1 }

// Supersedes reports whether f makes other void.
func (f FencingToken) Supersedes(other FencingToken) bool { return f > other }
