package crowd

// Kind is what a client sends.
type Kind interface{ kind() }

// Silence sends nothing.
type Silence struct{}

// LargeHead sends a head with one line of Bytes, which exceeds the limit.
type LargeHead struct{ Bytes int }

// EndlessHead sends Bytes of different header lines.
type EndlessHead struct{ Bytes int }

// UnfinishedHead sends a head of legal size without its end.
type UnfinishedHead struct{}

// EmptyLines sends Bytes of empty lines, on a new connection or after a whole request.
type EmptyLines struct {
	Bytes        int
	AfterRequest bool
}

// ManyLines sends a head of legal size that consists of short lines, and a body without its last byte.
type ManyLines struct{ Shape LineShape }

// LineShape is how the lines of a head look.
type LineShape string

// The shapes of lines.
const (
	// DifferentNames are short lines, each with a name of its own.
	DifferentNames LineShape = "different names"
	// EqualNames are short lines of one name.
	EqualNames LineShape = "equal names"
	// FoldedLines are continuations of one line, as HTTP once allowed them.
	FoldedLines LineShape = "folded lines"
	// OddLines are lines with unusual names and spaces around their values.
	OddLines LineShape = "odd lines"
)

// LineShapes returns all shapes.
func LineShapes() []LineShape {
	return []LineShape{DifferentNames, EqualNames, FoldedLines, OddLines}
}

// Body sends a body with its length, in pieces of the given size; the last bytes may be missing.
type Body struct{ Piece, Missing int }

// Chunks sends a body in chunks of the given size.
type Chunks struct {
	Size int
	// Short leaves out the last chunk and the end.
	Short bool
	// Extension is added to each chunk, in bytes.
	Extension int
	// Trailer is what follows the last chunk, in bytes of trailer lines without an end.
	Trailer int
}

// SecondRequest sends a request and behind it, without waiting, one with many header lines and an unfinished body.
type SecondRequest struct{}

// UnreadAnswers sends Bytes of requests without reading an answer, or less if the server stops reading.
type UnreadAnswers struct{ Bytes int }

// Mixture sends one of several kinds, in turn.
type Mixture struct{ Kinds []Kind }

func (Silence) kind()        {}
func (LargeHead) kind()      {}
func (EndlessHead) kind()    {}
func (UnfinishedHead) kind() {}
func (EmptyLines) kind()     {}
func (ManyLines) kind()      {}
func (Body) kind()           {}
func (Chunks) kind()         {}
func (SecondRequest) kind()  {}
func (UnreadAnswers) kind()  {}
func (Mixture) kind()        {}
