package main

import (
	"fmt"
	"time"
)

func init() {
	configurations["same-id"] = configuration(7, route("r-dye", "/dye/", 1, false)+","+route("r-scan", "/scan/", 2, false), tenants)
	cases["same-id"] = playSameID
}

// playSameID hands in jobs of two tenants, in two queues, whose clients have chosen the same id.
func playSameID(c *cluster, trouble bool) error {
	const id = "0000000000000001"
	if trouble {
		if !c.submit("/scan/"+id, keyB, job("work 4000", `{"count":3,"cpu":1000,"memMb":100,"estimateMs":4000}`)) {
			return fmt.Errorf("%w: the first job is not accepted", errCannotRun)
		}
	}
	if !c.submit("/dye/"+id, keyA, job("work 2000", ordinaryStep)) {
		c.record.add("the second job was refused")
		return nil
	}
	time.Sleep(4 * time.Second) // longer than visible_ms
	status, state := 0, ""
	for range 12 {
		if status, state = c.request(1, "GET", "/dye/"+id, keyA, ""); status == 200 && state == `{"state":"completed"}` {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%w: LOST: /dye/%s was accepted with 200 and nobody has cancelled it; a GET by its tenant is answered %d %s",
		errBroken, id, status, state)
}
