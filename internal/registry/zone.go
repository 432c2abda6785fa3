package registry

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/board"
)

// Evacuation is the order of an operator that the endpoints of an availability zone get no new work.
type Evacuation = batch.Evacuation

// EvacuateZone evacuates an availability zone, so that its endpoints get no new work, or ends its evacuation.
type EvacuateZone struct {
	requestID  string
	evacuation Evacuation
	evacuated  bool
}

func (EvacuateZone) command() {}

// NewEvacuateZone returns a command that evacuates a zone, or ends its evacuation if evacuated is false.
func NewEvacuateZone(requestID, zone, reason string, evacuated bool, proposedAt time.Time) EvacuateZone {
	return EvacuateZone{requestID: requestID, evacuation: batch.NewEvacuation(zone, reason, proposedAt), evacuated: evacuated}
}

// RequestID returns the ID that a retry of the operator's request repeats, empty for no deduplication.
func (c EvacuateZone) RequestID() string { return c.requestID }

// Evacuation returns the zone, the operator's reason, and the time on the leader's clock at which it proposed the command.
func (c EvacuateZone) Evacuation() Evacuation { return c.evacuation }

// Evacuated reports whether the zone is to get no new work.
func (c EvacuateZone) Evacuated() bool { return c.evacuated }

// Evacuations returns the evacuated availability zones by name.
func (s State) Evacuations() board.Table[Evacuation] { return s.evacuations }

// EvacuationList returns the evacuations in the order of the names of their zones.
func (s State) EvacuationList() (list []Evacuation) {
	all := maps.Collect(s.evacuations.All())
	for _, zone := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[zone])
	}
	return list
}

// WithEvacuations returns a copy of the state with evacuations of a snapshot added.
func (s State) WithEvacuations(list []Evacuation) State {
	for _, e := range list {
		s.evacuations = s.evacuations.With(e.Zone(), e)
	}
	return s
}

// KeepsFromWork reports whether an endpoint gets no new work, because an operator has drained it or evacuated the
// availability zone that it is in.
func (s State) KeepsFromWork(endpoint, zone string) bool {
	drained, _ := s.drained.Get(endpoint)
	_, evacuated := s.evacuations.Get(zone)
	return drained || evacuated
}

// evacuate keeps the time and the reason of the first order for a zone.
func evacuate(s State, c EvacuateZone) (State, Result) {
	accepted, zone := Accepted{revision: s.config.Revision()}, c.evacuation.Zone()
	_, evacuated := s.evacuations.Get(zone)
	if evacuated == c.evacuated {
		return s, accepted
	}
	if evacuated {
		s.evacuations = s.evacuations.Without(zone)
		return s, accepted
	}
	if err := c.evacuation.Check(); err != nil {
		return s, Denied{reason: err.Error()}
	}
	if n := s.evacuations.Len(); n >= batch.MaxEvacuations {
		return s, Denied{reason: fmt.Sprintf("%d availability zones are evacuated already", n)}
	}
	s.evacuations = s.evacuations.With(zone, c.evacuation)
	return s, accepted
}

// scope separates the request IDs of evacuations from those of their ends, so that neither is taken for a retry of the other.
func (c EvacuateZone) scope() string {
	if c.evacuated {
		return "evacuate zone"
	}
	return "reopen zone"
}

// sharedReplyKey returns the key of the reply in records of earlier versions, in which both had one scope.
func (c EvacuateZone) sharedReplyKey() string { return "evacuate\x00" + c.requestID }

// proposedAt returns the time on the leader's clock at which it proposed the command.
func (c EvacuateZone) proposedAt() time.Time { return c.evacuation.Since() }
