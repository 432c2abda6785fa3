package intake

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// headShapes are the lines of heads, by number.
var headShapes = map[string]func(n int) string{
	"ordinary lines":      func(n int) string { return fmt.Sprintf("X-Header-%d: a value of the usual length\r\n", n) },
	"different names":     func(n int) string { return fmt.Sprintf("%x:\r\n", n) },
	"different, LF only":  func(n int) string { return fmt.Sprintf("%x:\n", n) },
	"different and value": func(n int) string { return fmt.Sprintf("%x-%x: %x\r\n", n, n, n) },
	"equal names":         func(int) string { return "A:\r\n" },
	"equal, LF only":      func(int) string { return "a:\n" },
	"folded lines":        func(int) string { return " a\r\n" },
	"odd lines":           func(n int) string { return fmt.Sprintf("~%x!#$%%&'*:\t \t\xff \r\n", n) },
	"one line":            func(int) string { return strings.Repeat("x", 1000) },
}

// headOf returns a head of about the given size.
func headOf(line func(int) string, size int) string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: a\r\nFirst: ")
	if !strings.HasPrefix(line(0), "x") {
		b.WriteString("\r\n")
	}
	for n := 0; b.Len()+len(line(n)) < size; n++ {
		b.WriteString(line(n))
	}
	return strings.TrimRight(b.String(), "\r\n") + "\r\n\r\n"
}

// parsingBytes returns how many bytes net/http allocates to parse a head.
func parsingBytes(t *testing.T, head string) int64 {
	t.Helper()
	r := bufio.NewReader(strings.NewReader(head))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	request, err := http.ReadRequest(r)
	runtime.ReadMemStats(&after)
	require.NoError(t, err)
	runtime.KeepAlive(request)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// Guards against heads of legal size that take several times what is charged for them, because of how their lines look.
func TestHeadCostCoversParsing(t *testing.T) {
	for name, line := range headShapes {
		t.Run(name, func(t *testing.T) {
			for size := 4000; size <= 64_000; size += 4000 {
				head := headOf(line, size)
				var m headMeter
				cost := m.next([]byte(head))
				require.True(t, m.ended)
				assert.GreaterOrEqual(t, cost, parsingBytes(t, head), "size %d", size)
				assert.LessOrEqual(t, cost, headCostFactor*int64(len(head)), "size %d", size)
			}
		})
	}
}

// Guards against limits with which one request of legal size is refused in calm, and against bodies that take the room
// that is kept for the most expensive head.
func TestServerSizes(t *testing.T) {
	const body, head = 4 << 20, 64 << 10
	budgetOf := func(bodies int64) *Budget {
		return NewBudget(NewServerLimits(NewServerSizes(bodies, body, head), minimumConnections, DefaultPace()).BudgetBytes())
	}
	t.Run("one request", func(t *testing.T) {
		c := budgetOf(body).NewCharge(&Peer{})
		assertRefused(t, "", c.Add(headCostFactor*head))
		assertRefused(t, "", c.Add(body))
	})
	t.Run("all bodies", func(t *testing.T) {
		c := budgetOf(16 * body).NewCharge(&Peer{})
		assertRefused(t, "", c.Add(headByteCost*head))
		assertRefused(t, "", c.Add(16*body))
		assertRefused(t, ShareSpent, c.Add(2*smallBytes))
	})
}
