package batch

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// maxZoneBytes bounds the name of an availability zone.
	maxZoneBytes = 128
	// maxReasonBytes bounds the reason of an evacuation.
	maxReasonBytes = 1024
	// MaxEvacuations bounds the zones that are evacuated at once.
	MaxEvacuations = 64
)

// Evacuation is the order of an operator that nothing more starts in an availability zone; it is immutable.
type Evacuation struct {
	zone   string
	reason string
	since  time.Time
}

// NewEvacuation returns the evacuation of a zone; the reason may be empty.
func NewEvacuation(zone, reason string, since time.Time) Evacuation {
	return Evacuation{zone: zone, reason: reason, since: since}
}

// Zone returns the name of the availability zone.
func (e Evacuation) Zone() string { return e.zone }

// Reason returns the reason that the operator gave, or an empty string.
func (e Evacuation) Reason() string { return e.reason }

// Since returns the time of the first order to evacuate the zone.
func (e Evacuation) Since() time.Time { return e.since }

// Check fails if the name of the zone or the reason cannot be stored.
func (e Evacuation) Check() error {
	switch {
	case e.zone == "":
		return errors.New("the name of the availability zone is empty")
	case len(e.zone) > maxZoneBytes:
		return fmt.Errorf("the name of the availability zone has %d bytes, more than %d", len(e.zone), maxZoneBytes)
	case len(e.reason) > maxReasonBytes:
		return fmt.Errorf("the reason has %d bytes, more than %d", len(e.reason), maxReasonBytes)
	case !printable(e.zone) || !printable(e.reason):
		return errors.New("the name of the availability zone or the reason is not text, or has control characters")
	}
	return nil
}

func printable(s string) bool {
	return utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}

// EvacuateZone evacuates an availability zone; it has no effect on a zone that is evacuated already.
type EvacuateZone struct{ evacuation Evacuation }

// ReopenZone ends the evacuation of an availability zone; it has no effect on any other zone.
type ReopenZone struct{ zone string }

func (EvacuateZone) command() {}
func (ReopenZone) command()   {}

// NewEvacuateZone returns the command that evacuates a zone.
func NewEvacuateZone(e Evacuation) EvacuateZone { return EvacuateZone{evacuation: e} }

// Evacuation returns the evacuation that is ordered.
func (c EvacuateZone) Evacuation() Evacuation { return c.evacuation }

// NewReopenZone returns the command that ends the evacuation of a zone.
func NewReopenZone(zone string) ReopenZone { return ReopenZone{zone: zone} }

// Zone returns the name of the availability zone.
func (c ReopenZone) Zone() string { return c.zone }

// Evacuation returns the evacuation of a zone and reports whether the zone is evacuated.
func (s State) Evacuation(zone string) (e Evacuation, ok bool) {
	e, ok = s.evacuations[zone]
	return e, ok
}

// Evacuations returns all evacuations in the order of the names of their zones.
func (s State) Evacuations() (list []Evacuation) {
	for _, zone := range slices.Sorted(maps.Keys(s.evacuations)) {
		list = append(list, s.evacuations[zone])
	}
	return list
}

// WithEvacuations returns a copy of the state with evacuations of a snapshot added.
func (s State) WithEvacuations(list []Evacuation) State {
	for _, e := range list {
		s.evacuations = withKey(s.evacuations, e.zone, e)
	}
	return s
}

func (s State) evacuateZone(c EvacuateZone) (State, Result) {
	if _, evacuated := s.evacuations[c.evacuation.zone]; evacuated {
		return s, Applied{}
	}
	if err := c.evacuation.Check(); err != nil {
		return s, Rejected{reason: err.Error()}
	}
	if len(s.evacuations) >= MaxEvacuations {
		return s, Rejected{reason: fmt.Sprintf("%d availability zones are evacuated already", len(s.evacuations))}
	}
	s.evacuations = withKey(s.evacuations, c.evacuation.zone, c.evacuation)
	return s, Applied{}
}

func (s State) reopenZone(c ReopenZone) State {
	if _, evacuated := s.evacuations[c.zone]; !evacuated {
		return s
	}
	left := maps.Clone(s.evacuations)
	delete(left, c.zone)
	s.evacuations = left
	return s
}
