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

// verdict is the judgement of one request.
type verdict struct {
	ok   bool
	took time.Duration
}

// row is the result of one workspace or job.
type row struct {
	name  string
	kind  string
	good  int
	bad   int
	times []time.Duration
	note  string
}

// table collects the results of the demo.
type table struct {
	mutex sync.Mutex
	rows  map[string]*row
}

func newTable() *table { return &table{rows: map[string]*row{}} }

func (t *table) request(name, kind string, v verdict) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.row(name, kind+" requests").add(v)
}

func (t *table) gang(j client.Job, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.row("gang 2x8", "job")
	r.add(verdict{ok: j.Result() == "succeeded", took: took})
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

func (r *row) add(v verdict) {
	if v.ok {
		r.good++
	} else {
		r.bad++
	}
	r.times = append(r.times, v.took)
}

// print writes the table and fails when an outcome is wrong.
func (t *table) print(out io.Writer) (err error) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tKIND\tRIGHT\tWRONG\tP50\tMAX\tNOTE")
	bad := 0
	for _, name := range append(slices.Clone(names), "gang 2x8") {
		r, ok := t.rows[name]
		if !ok {
			bad++
			continue
		}
		slices.Sort(r.times)
		bad += r.bad
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", r.name, r.kind, r.good, r.bad,
			r.times[len(r.times)/2].Round(time.Microsecond*10), r.times[len(r.times)-1].Round(time.Microsecond*10), r.note)
	}
	if err = w.Flush(); err != nil {
		return err
	}
	if bad > 0 {
		return fmt.Errorf("%d outcomes are wrong", bad)
	}
	_, err = fmt.Fprintln(out, "all outcomes are right")
	return err
}
