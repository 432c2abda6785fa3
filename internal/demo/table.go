package demo

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"rosemarywind.example/rosemarywind/pkg/client"
)

// result is whether the outcome of one request or job was right, and how long it took.
type result struct {
	right    bool
	duration time.Duration
}

// row holds the results of one workspace's requests or of the job.
type row struct {
	name      string
	kind      string
	right     int
	wrong     int
	durations []time.Duration
	note      string
}

// table collects the results of the demo; the methods that add a result are safe for concurrent use.
type table struct {
	mutex sync.Mutex
	rows  map[string]*row
}

func newTable() *table { return &table{rows: map[string]*row{}} }

func (t *table) addRequest(name, kind string, res result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.row(name, kind+" requests").add(res)
}

func (t *table) addGang(j client.Job, d time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.row("gang 2x8", "job")
	r.add(result{right: j.Result() == "succeeded", duration: d})
	r.note = j.Result() + ": " + j.Reason()
}

func (t *table) row(name, kind string) *row {
	r, ok := t.rows[name]
	if !ok {
		r = &row{name: name, kind: kind}
		t.rows[name] = r
	}
	return r
}

func (r *row) add(res result) {
	if res.right {
		r.right++
	} else {
		r.wrong++
	}
	r.durations = append(r.durations, res.duration)
}

// print writes the table, and returns an error if an outcome is wrong or a row is missing.
func (t *table) print(out io.Writer) (err error) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tKIND\tRIGHT\tWRONG\tP50\tMAX\tNOTE")
	wrong := 0
	for _, name := range append(slices.Clone(workspaceNames), "gang 2x8") {
		r, ok := t.rows[name]
		if !ok {
			wrong++
			continue
		}
		slices.Sort(r.durations)
		wrong += r.wrong
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", r.name, r.kind, r.right, r.wrong,
			r.durations[len(r.durations)/2].Round(time.Microsecond*10), r.durations[len(r.durations)-1].Round(time.Microsecond*10), r.note)
	}
	if err = w.Flush(); err != nil {
		return err
	}
	if wrong > 0 {
		return fmt.Errorf("%d outcomes are wrong", wrong)
	}
	_, err = fmt.Fprintln(out, "all outcomes are right")
	return err
}
