package intake

const (
	// headByteCost is how many bytes of memory a byte of a head takes while lines grow and are copied.
	headByteCost = 6
	// headLineCost is how many bytes of memory a line of a head takes beside its text: its place in a map of names and in
	// a slice of values, and in the smaller ones that these replace while they grow.
	headLineCost = 224
	// shortestLineBytes is the length of the shortest line that continues a head.
	shortestLineBytes = 2
	// headCostFactor is how many times its size a head costs at most.
	headCostFactor = headByteCost + headLineCost/shortestLineBytes
)

// headMeter finds the end of a head in the bytes that arrive, and computes what it costs to hold the head.
type headMeter struct {
	begun bool // whether a line with text has arrived
	text  bool // whether the current line has text
	ended bool
	bytes int64
}

// next returns the cost of the bytes that arrive next, up to the end of the head. Empty lines before the request belong
// to the head.
func (m *headMeter) next(p []byte) (cost int64) {
	for _, c := range p {
		if m.ended {
			return cost
		}
		m.bytes++
		cost += headByteCost
		switch c {
		case '\n':
			cost += headLineCost
			m.ended = m.begun && !m.text
			m.begun, m.text = m.begun || m.text, false
		case '\r':
		default:
			m.text = true
		}
	}
	return cost
}
