package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// maintenanceTime is maintenanceS of the settings.
const maintenanceTime = 2 * time.Second

// listen listens at an address, which an earlier life of a worker may just have left.
func listen(address string) net.Listener {
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return l
		}
		if time.Since(begun) > 3*time.Second {
			panic(err)
		}
	}
}

// cloud is a stand-in for the platform's machine service.
type cloud struct {
	c     *cluster
	mu    sync.Mutex
	waves map[int][]string // machines by wave, as the operator requested them
	down  map[string]int   // by machine that is down: the wave of its upkeep
	done  map[string]bool  // upkeeps that were carried out, as "wave machine"
	begun func(wave int, machine string, down map[string]int)
	// loseAnswers is the number of answers that still get lost.
	loseAnswers int
}

func newCloud(c *cluster) *cloud {
	s := &cloud{c: c, waves: map[int][]string{}, down: map[string]int{}, done: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/machine-upkeep", s.upkeep)
	l := listen(c.cloud)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return s
}

func (s *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var f struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := s.begin(f.Wave, f.Machine)
	s.c.r.add("machine service: upkeep of %s for wave %d, holder %s, token %s -> %d %s", f.Machine, f.Wave,
		r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), status, reason)
	s.mu.Lock()
	lost := s.loseAnswers > 0 && status == http.StatusOK
	if lost {
		s.loseAnswers--
	}
	s.mu.Unlock()
	if lost {
		s.c.r.add("machine service: that answer is lost")
		<-r.Context().Done()
		return
	}
	rw.WriteHeader(status)
	_, _ = fmt.Fprintf(rw, `{"reason":%q}`, reason)
}

// begin takes a machine down and lets a new worker join after the maintenance.
func (s *cloud) begin(wave int, machine string) (status int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.IndexFunc(s.c.workers, func(w *worker) bool { return w.machine == machine })
	key := fmt.Sprint(wave, " ", machine)
	_, busy := s.down[machine]
	switch {
	case at < 0:
		return http.StatusBadRequest, ""
	case s.done[key]:
		return http.StatusOK, ""
	case busy:
		return http.StatusConflict, "busy"
	case !slices.Contains(s.waves[wave], machine):
		return http.StatusConflict, "wave"
	}
	if s.begun != nil {
		s.begun(wave, machine, s.down)
	}
	s.done[key], s.down[machine] = true, wave
	w := s.c.workers[at]
	w.end("its machine is down for upkeep")
	time.AfterFunc(maintenanceTime, func() {
		s.mu.Lock()
		delete(s.down, machine)
		s.mu.Unlock()
		s.c.r.add("%s is up again", machine)
		w.boot(0)
	})
	return http.StatusOK, ""
}

// startWave sends the operator's request for a wave.
func (s *cloud) startWave(number int, machines []string, durationS, maxCount int) {
	s.mu.Lock()
	s.waves[number] = machines
	s.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"wave": number, "machines": machines, "durationS": durationS, "maxCount": maxCount})
	a := s.c.operate("POST", "/-/wave-start", string(body))
	s.c.r.add("operator: POST /-/wave-start %s -> %s", body, a)
	if a.status != http.StatusOK {
		panic("the wave was not accepted")
	}
}
