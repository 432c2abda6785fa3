// Command cases2 runs the scripted cases of the second review. Each case starts the project's own programs as separate
// processes on loopback addresses, with stand-ins for clients, workers, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs, before the limit of 120 s for a script.
const caseTimeout = 112 * time.Second

// caseFunc plays a case and returns the breaks of the rule that it saw.
type caseFunc func(c *cluster, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{
	"unlisted-ends": unlistedEnds,
	"unheard-leave": unheardLeave,
	"lasting-task":  lastingTask,
	"wave-refused":  waveRefused,
	"many-times":    manyTimes,
	"lost-reply":    lostReply,
	"many-starts":   manyStarts,
	"pending-count": pendingCount,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE PROJECT-FOLDER RECORD-FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, project, recordPath string) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %t", name, trouble)
	c, err := newCluster(project, r)
	if err != nil {
		r.add("not run: %v", err)
		return exitNotRun
	}
	timeout := time.AfterFunc(caseTimeout, func() {
		r.add("not run: the case takes longer than %s", caseTimeout)
		c.stop()
		os.Exit(exitNotRun)
	})
	defer timeout.Stop()
	broken, err := run(c, trouble)
	c.stop()
	if err != nil {
		r.add("not run: %v", err)
		return exitNotRun
	}
	for _, b := range broken {
		r.add("BROKEN %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.add("held")
	return exitHeld
}
