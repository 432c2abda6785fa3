package batch

import (
	"maps"
	"slices"
	"time"
)

// Wave is a round of maintenance: each of its machines goes down once, a few at a time. It is immutable.
type Wave struct {
	number   int64
	machines []string
	maxDown  int
	deadline time.Time
	begun    map[string]Incarnation // the worker that a machine had when it went down
	skipped  map[string]bool
}

// NewWave returns a wave of machines, at most so many of them down at once, that is to end by a time.
func NewWave(number int64, machines []string, most int, ends time.Time) Wave {
	return Wave{number: number, machines: machines, maxDown: most, deadline: ends}
}

// RestoreWave returns the wave that a snapshot kept.
func RestoreWave(w Wave, begun map[string]Incarnation, skipped map[string]bool) Wave {
	w.begun, w.skipped = begun, skipped
	return w
}

// Number returns the operator's number of the wave.
func (w Wave) Number() int64 { return w.number }

// Machines returns the machines, which the caller must not modify.
func (w Wave) Machines() []string { return w.machines }

// MaxDown returns how many machines may be down at once.
func (w Wave) MaxDown() int { return w.maxDown }

// Deadline returns by when the wave is to end.
func (w Wave) Deadline() time.Time { return w.deadline }

// Begun returns the worker that a machine had when its maintenance began, and whether it has begun.
func (w Wave) Begun(machine string) (life Incarnation, ok bool) {
	life, ok = w.begun[machine]
	return life, ok
}

// Skipped reports whether a machine is not there any more.
func (w Wave) Skipped(machine string) bool { return w.skipped[machine] }

// Pending returns the machines whose maintenance has not begun.
func (w Wave) Pending() (list []string) {
	for _, m := range w.machines {
		if _, begun := w.begun[m]; !begun && !w.skipped[m] {
			list = append(list, m)
		}
	}
	return list
}

// AllBegun reports whether all machines that are there have begun their maintenance.
func (w Wave) AllBegun() bool { return len(w.Pending()) == 0 }

// StartWave begins a wave, unless one of the same number was.
type StartWave struct{ wave Wave }

// RecordMaintenance notes that the maintenance of a machine has begun, or that the machine is not there any more.
type RecordMaintenance struct {
	wave    int64
	machine string
	worker  Incarnation
	skipped bool
}

func (StartWave) command()         {}
func (RecordMaintenance) command() {}

// NewStartWave returns the command that begins a wave.
func NewStartWave(w Wave) StartWave { return StartWave{wave: w} }

// Wave returns the wave.
func (c StartWave) Wave() Wave { return c.wave }

// NewRecordMaintenance returns the command that notes the maintenance of a machine with its worker before.
func NewRecordMaintenance(wave int64, machine string, worker Incarnation) RecordMaintenance {
	return RecordMaintenance{wave: wave, machine: machine, worker: worker}
}

// NewSkipMachine returns the command that notes that a machine of a wave is not there any more.
func NewSkipMachine(wave int64, machine string) RecordMaintenance {
	return RecordMaintenance{wave: wave, machine: machine, skipped: true}
}

// Wave returns the number of the wave.
func (c RecordMaintenance) Wave() int64 { return c.wave }

// Machine returns the machine.
func (c RecordMaintenance) Machine() string { return c.machine }

// Worker returns the worker that the machine had before.
func (c RecordMaintenance) Worker() Incarnation { return c.worker }

// Skipped reports whether the machine is not there any more.
func (c RecordMaintenance) Skipped() bool { return c.skipped }

// Wave returns the wave of a number.
func (s State) Wave(number int64) (w Wave, ok bool) {
	w, ok = s.waves[number]
	return w, ok
}

// Waves returns the waves by number.
func (s State) Waves() (list []Wave) {
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		list = append(list, s.waves[n])
	}
	return list
}

// WithWaves returns the state with the waves that a snapshot kept.
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

// withKey returns a copy of a map with one more entry.
func withKey[V any](m map[string]V, key string, value V) map[string]V {
	next := make(map[string]V, len(m)+1)
	maps.Copy(next, m)
	next[key] = value
	return next
}
