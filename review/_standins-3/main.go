// Command trial plays one case of the review against the project's own programs on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// errBroken is wrapped by the result of a case whose rule was broken.
var errBroken = errors.New("rule broken")

var cases = map[string]func(c *cluster, trouble bool) error{}

// workersOf holds the number of workers of the cases that need other than three.
var workersOf = map[string]int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns 0 if the rule held, 1 if it was broken and 2 if the case could not run.
func run(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	workers := workersOf[name]
	if workers == 0 {
		workers = 3
	}
	c, err := newCluster(r, workers)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan error, 1)
	go func() {
		err := c.start(configurations[name])
		if err == nil {
			err = cases[name](c, os.Getenv("TROUBLE") != "0")
		}
		result <- err
	}()
	select {
	case err = <-result:
	case <-stop:
		err = fmt.Errorf("%w: stopped", errCannotRun)
	}
	c.close()
	switch {
	case err == nil:
		r.add("result", "the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.add("result", err.Error())
		fmt.Println(err)
		return 1
	default:
		r.add("result", err.Error())
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
}
