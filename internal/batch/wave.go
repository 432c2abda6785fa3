package batch

import (
	"maps"
	"slices"
	"time"
)

// Wave is a round of maintenance in which each machine goes down once, a limited number at a time; it is immutable.
type Wave struct {
	number   int64
	machines []string
	maxDown  int
	deadline time.Time
	begun    map[string]Incarnation // by machine: its worker when the maintenance began
	skipped  map[string]bool
}

// NewWave returns a wave of machines, of which at most maxDown are down at once; it should end by the deadline.
func NewWave(number int64, machines []string, maxDown int, deadline time.Time) Wave {
	return Wave{number: number, machines: machines, maxDown: maxDown, deadline: deadline}
}

// RestoreWave returns the wave with its progress as stored in a snapshot.
func RestoreWave(w Wave, begun map[string]Incarnation, skipped map[string]bool) Wave {
	w.begun, w.skipped = begun, skipped
	return w
}

// Number returns the number that the operator assigned to the wave.
func (w Wave) Number() int64 { return w.number }

// Machines returns the names of the machines; the caller must not modify the slice.
func (w Wave) Machines() []string { return w.machines }

// MaxDown returns the largest number of machines that may be down at once.
func (w Wave) MaxDown() int { return w.maxDown }

// Deadline returns the time by which the wave should end.
func (w Wave) Deadline() time.Time { return w.deadline }

// Begun returns the worker that a machine had when its maintenance began, and reports whether it has begun.
func (w Wave) Begun(machine string) (worker Incarnation, ok bool) {
	worker, ok = w.begun[machine]
	return worker, ok
}

// Skipped reports whether a machine was left out because it no longer exists.
func (w Wave) Skipped(machine string) bool { return w.skipped[machine] }

// Pending returns the machines whose maintenance has not begun, without the skipped ones.
func (w Wave) Pending() (list []string) {
	for _, m := range w.machines {
		if _, begun := w.begun[m]; !begun && !w.skipped[m] {
			list = append(list, m)
		}
	}
	return list
}

// AllBegun reports whether maintenance has begun on every machine that was not skipped.
func (w Wave) AllBegun() bool { return len(w.Pending()) == 0 }

// StartWave starts a wave; if one with the same number was started before, it has no effect.
type StartWave struct{ wave Wave }

// RecordMaintenance records that maintenance of a machine has begun, or that the machine no longer exists.
type RecordMaintenance struct {
	wave    int64
	machine string
	worker  Incarnation
	skipped bool
}

func (StartWave) command()         {}
func (RecordMaintenance) command() {}

// NewStartWave returns the command that starts a wave.
func NewStartWave(w Wave) StartWave { return StartWave{wave: w} }

// Wave returns the wave to start, without any progress.
func (c StartWave) Wave() Wave { return c.wave }

// NewRecordMaintenance returns the command that records that maintenance of a machine has begun; worker is the worker
// that it had until then.
func NewRecordMaintenance(wave int64, machine string, worker Incarnation) RecordMaintenance {
	return RecordMaintenance{wave: wave, machine: machine, worker: worker}
}

// NewSkipMachine returns the command that records that a machine of a wave no longer exists.
func NewSkipMachine(wave int64, machine string) RecordMaintenance {
	return RecordMaintenance{wave: wave, machine: machine, skipped: true}
}

// Wave returns the number of the wave.
func (c RecordMaintenance) Wave() int64 { return c.wave }

// Machine returns the name of the machine.
func (c RecordMaintenance) Machine() string { return c.machine }

// Worker returns the worker that the machine had when the maintenance began, zero for a skipped machine.
func (c RecordMaintenance) Worker() Incarnation { return c.worker }

// Skipped reports whether the machine no longer exists.
func (c RecordMaintenance) Skipped() bool { return c.skipped }

// Wave returns the wave with the given number and reports whether it was started.
func (s State) Wave(number int64) (w Wave, ok bool) {
	w, ok = s.waves[number]
	return w, ok
}

// Waves returns all waves in the order of their numbers.
func (s State) Waves() (list []Wave) {
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		list = append(list, s.waves[n])
	}
	return list
}

// WithWaves returns a copy of the state with waves of a snapshot added.
func (s State) WithWaves(waves []Wave) State {
	for _, w := range waves {
		s = s.withWave(w)
	}
	return s
}

func (s State) withWave(w Wave) State {
	next := maps.Clone(s.waves)
	if next == nil {
		next = map[int64]Wave{}
	}
	next[w.number] = w
	s.waves = next
	return s
}

func (s State) startWave(c StartWave) State {
	if _, known := s.waves[c.wave.number]; known {
		return s
	}
	return s.withWave(c.wave)
}

func (s State) recordMaintenance(c RecordMaintenance) State {
	w, known := s.waves[c.wave]
	if !known || !slices.Contains(w.machines, c.machine) {
		return s
	}
	if _, begun := w.begun[c.machine]; begun {
		return s
	}
	if c.skipped {
		w.skipped = withKey(w.skipped, c.machine, true)
	} else {
		w.begun = withKey(w.begun, c.machine, c.worker)
	}
	return s.withWave(w)
}

// withKey returns a copy of m with one entry set.
func withKey[V any](m map[string]V, key string, value V) map[string]V {
	next := make(map[string]V, len(m)+1)
	maps.Copy(next, m)
	next[key] = value
	return next
}
