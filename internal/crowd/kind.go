package crowd

// Kind is what a client sends.
type Kind interface{ kind() }

type (
	silence        struct{}
	idle           struct{}
	unfinishedHead struct{}
	secondRequest  struct{}
	largeHead      struct{ bytes int }
	endlessHead    struct{ bytes int }
	unreadAnswers  struct{ bytes int }
	manyLines      struct{ shape LineShape }
	mixture        struct{ kinds []Kind }

	emptyLines struct {
		bytes        int
		afterRequest bool
	}

	body struct {
		piece   int // bytes sent at once
		missing int // bytes that are not sent
	}

	chunks struct {
		size      int  // of a chunk
		short     bool // without the last chunk and the end
		extension int  // bytes added to each chunk
		trailer   int  // bytes of trailer lines without an end
	}
)

func (silence) kind()        {}
func (idle) kind()           {}
func (unfinishedHead) kind() {}
func (secondRequest) kind()  {}
func (largeHead) kind()      {}
func (endlessHead) kind()    {}
func (unreadAnswers) kind()  {}
func (manyLines) kind()      {}
func (mixture) kind()        {}
func (emptyLines) kind()     {}
func (body) kind()           {}
func (chunks) kind()         {}

// Silence sends nothing.
func Silence() Kind { return silence{} }

// Idle sends one whole request and leaves the connection open.
func Idle() Kind { return idle{} }

// LargeHead sends a head with one line of the given number of bytes.
func LargeHead(bytes int) Kind { return largeHead{bytes} }

// EndlessHead sends the given number of bytes of different header lines.
func EndlessHead(bytes int) Kind { return endlessHead{bytes} }

// UnfinishedHead sends a head of legal size without its end.
func UnfinishedHead() Kind { return unfinishedHead{} }

// EmptyLines sends the given number of bytes of empty lines in place of a request.
func EmptyLines(bytes int) Kind { return emptyLines{bytes: bytes} }

// EmptyLinesAfterRequest sends a whole request and then the given number of bytes of empty lines.
func EmptyLinesAfterRequest(bytes int) Kind { return emptyLines{bytes: bytes, afterRequest: true} }

// ManyLines sends a head of legal size that consists of short lines, and a body without its last byte.
func ManyLines(shape LineShape) Kind { return manyLines{shape} }

// Body sends a body with its length, in pieces of the given size; the given number of its last bytes is missing.
func Body(piece, missing int) Kind { return body{piece: piece, missing: missing} }

// Chunks sends a body in chunks of the given size.
func Chunks(size int) Kind { return chunks{size: size} }

// UnfinishedChunks is Chunks without the last chunk and the end.
func UnfinishedChunks(size int) Kind { return chunks{size: size, short: true} }

// ChunksWithExtensions is UnfinishedChunks with the given number of bytes added to each chunk.
func ChunksWithExtensions(size, extension int) Kind {
	return chunks{size: size, short: true, extension: extension}
}

// ChunksWithTrailer is Chunks with the given number of bytes of trailer lines behind them, which have no end.
func ChunksWithTrailer(size, trailer int) Kind { return chunks{size: size, trailer: trailer} }

// SecondRequest sends a request and behind it, without waiting, one with many header lines and an unfinished body.
func SecondRequest() Kind { return secondRequest{} }

// UnreadAnswers sends the given number of bytes of requests without reading an answer, or fewer if the server stops
// reading.
func UnreadAnswers(bytes int) Kind { return unreadAnswers{bytes} }

// Mixture sends one of several kinds, in turn.
func Mixture(kinds ...Kind) Kind { return mixture{kinds} }
