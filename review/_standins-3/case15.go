package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	waveWorkers  = 8
	waveMaxCount = 1
	// maintenanceTime is maintenanceS of the sheet.
	maintenanceTime = 2 * time.Second
)

// cloud is a stand-in for the platform's service for machines.
type cloud struct {
	cluster *cluster
	server  *http.Server
	mu      sync.Mutex
	done    map[string]bool // by wave and machine
	down    map[string]bool // machines that are down for their upkeep
	broken  []string
	holder  string // of the latest order
}

func init() {
	configurations["15"] = configuration(7, route("r-dye", "/dye/", 1, false)+","+route("r-scan", "/scan/", 2, false), tenants)
	workersOf["15"] = waveWorkers
	cases["15"] = playWave
}

func (c *cluster) cloudAddress() string {
	return net.JoinHostPort(c.network+".200", strconv.Itoa(c.ports.app))
}

// cloudSettings returns the part of a settings file that names the service for machines.
func (c *cluster) cloudSettings() string {
	return fmt.Sprintf("cloudApi:\n  address: %q\n  ratePerS: 60.0\n  duties: []\n  dutyPerS: 60.0\n", c.cloudAddress())
}

func (c *cluster) startCloud() (*cloud, error) {
	l, err := net.Listen("tcp", c.cloudAddress())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	p := &cloud{cluster: c, done: map[string]bool{}, down: map[string]bool{}}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// ServeHTTP carries out an upkeep: everything on the machine ends at once, and a new worker follows after maintenanceTime.
func (p *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if r.URL.Path != "/-/machine-upkeep" || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	number, err := strconv.Atoi(strings.TrimPrefix(o.Machine, "m-"))
	if err != nil || number >= len(p.cluster.workers) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := fmt.Sprintf("%d %s", o.Wave, o.Machine)
	p.cluster.record.add("upkeep ordered", o.Machine, "by", r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"))
	p.holder = r.Header.Get("Duty-Holder")
	if p.done[key] {
		_, _ = w.Write([]byte("{}"))
		return
	}
	if len(p.down) >= waveMaxCount {
		var list []string
		for m := range p.down {
			list = append(list, m)
		}
		p.broken = append(p.broken, fmt.Sprintf("the upkeep of %s begins while %s is down for its own", o.Machine, strings.Join(list, ", ")))
		p.cluster.record.add("rule broken", p.broken[len(p.broken)-1])
	}
	p.done[key], p.down[o.Machine] = true, true
	p.cluster.record.add("upkeep begins", o.Machine)
	worker := p.cluster.workers[number]
	worker.end()
	time.AfterFunc(maintenanceTime, func() {
		p.mu.Lock()
		delete(p.down, o.Machine)
		p.mu.Unlock()
		p.cluster.record.add("upkeep ends", o.Machine)
		_ = worker.begin()
	})
	_, _ = w.Write([]byte("{}"))
}

// playWave kills the process that leads while waves of upkeep follow each other and no job runs.
func playWave(c *cluster, trouble bool) error {
	p, err := c.startCloud()
	if err != nil {
		return err
	}
	defer func() { _ = p.server.Close() }()
	time.Sleep(2 * time.Second)
	go p.startWaves()
	for range leaderKills {
		at := p.awaitUpkeep()
		time.Sleep(time.Until(at.Add(killAfter)))
		if trouble {
			p.killLeader()
		}
		time.Sleep(killPause)
		p.mu.Lock()
		broken := len(p.broken) > 0
		p.mu.Unlock()
		if broken {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.broken) > 0 {
		return fmt.Errorf("%w: LIMIT: %s", errBroken, strings.Join(p.broken, "; "))
	}
	if len(p.done) < waveWorkers {
		return fmt.Errorf("%w: only %d upkeeps have begun", errCannotRun, len(p.done))
	}
	return nil
}

const (
	// leaderKills is how often the process that leads is killed.
	leaderKills = 8
	// killPause is longer than catchUpS, so that one machine of the core is lost at a time.
	killPause = 5500 * time.Millisecond
)

// startWaves starts a wave of all machines, and the next one when each of them has begun its upkeep.
func (p *cloud) startWaves() {
	var names []string
	for i := range waveWorkers {
		names = append(names, fmt.Sprintf("%q", fmt.Sprintf("m-%02d", i)))
	}
	for wave := 1; ; wave++ {
		body := fmt.Sprintf(`{"wave":%d,"machines":[%s],"durationS":60,"maxCount":%d}`, wave, strings.Join(names, ","), waveMaxCount)
		for i := 0; ; i++ {
			status, _ := call("POST", p.cluster.controlAddress(i%3), "", "/-/wave-start", "", body, time.Second)
			p.cluster.record.add("sent POST /-/wave-start", body, "answered", fmt.Sprint(status))
			if status == http.StatusOK {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		for {
			p.mu.Lock()
			begun, down := len(p.done), len(p.down)
			p.mu.Unlock()
			if begun >= wave*waveWorkers && down == 0 {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// killAfter is the time from the beginning of an upkeep to the kill.
const killAfter = 1800 * time.Millisecond

// awaitUpkeep returns when the next upkeep begins.
func (p *cloud) awaitUpkeep() time.Time {
	p.mu.Lock()
	before := len(p.done)
	p.mu.Unlock()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		now := len(p.done)
		p.mu.Unlock()
		if now > before {
			break
		}
	}
	return time.Now()
}

// killLeader kills the process that has ordered the latest upkeep, and starts it again.
func (p *cloud) killLeader() {
	p.mu.Lock()
	holder := p.holder
	p.mu.Unlock()
	c := p.cluster
	for i := range 3 {
		if fmt.Sprintf("frontend-%d", i) == holder {
			c.kill(holder, "control")
			time.AfterFunc(time.Second, func() { _ = c.startCore(i, "control", false) })
		}
	}
}
