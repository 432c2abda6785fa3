// Command harness runs one case of the review against the built programs.
//
// It starts the roles of the deploy file as separate processes on loopback addresses, with stand-ins for the workers,
// the machine service, the clients and the operator, and writes what it sees to record.txt in the folder of the case.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case; its values are the exit codes.
type verdict int

const (
	held      verdict = 0
	broken    verdict = 1
	cannotRun verdict = 2
)

// cases maps the names of the cases to the functions that run them. Trouble is false if the disruption is left out.
var cases = map[string]func(r *recorder, trouble bool) verdict{
	"schedule-restart": runScheduleRestart,
	"endless-schedule": runEndlessSchedule,
	"dependent-steps":  runDependentSteps,
	"reborn-worker":    runRebornWorker,
	"two-waves":        runTwoWaves,
	// Findings beyond the five cases.
	"lasting":         runLasting,
	"same-id":         runSameID,
	"lost-answer":     runLostUpkeepAnswer,
	"failing-tasks":   runFailingTasks,
	"many-tasks":      runManyTasks,
	"silent-crash":    runSilentCrash,
	"advised-restart": runAdvisedRestart,
}

// caseTimeout bounds a case; the processes are ended then.
const caseTimeout = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(int(cannotRun))
	}
	r, err := newRecorder(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(cannotRun))
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %v", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan verdict, 1)
	go func() { done <- run(cases[os.Args[1]], r, trouble) }()
	v := cannotRun
	select {
	case v = <-done:
	case <-time.After(caseTimeout):
		r.add("the case took longer than %s", caseTimeout)
	case s := <-signals:
		r.add("the case was ended by a signal: %s", s)
	}
	endAll()
	r.add("exit code %d (0: the rule held, 1: it was broken, 2: the case could not run)", v)
	r.close()
	os.Exit(int(v))
}

// run runs a case; one that cannot be set up ends with cannotRun.
func run(f func(*recorder, bool) verdict, r *recorder, trouble bool) (v verdict) {
	defer func() {
		if e := recover(); e != nil {
			r.add("the case could not run: %v", e)
			v = cannotRun
		}
	}()
	return f(r, trouble)
}
