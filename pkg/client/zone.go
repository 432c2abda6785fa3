package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Evacuation is an availability zone whose endpoints get no new work.
type Evacuation struct{ body EvacuationBody }

// AvailabilityZone returns the name of the zone.
func (e Evacuation) AvailabilityZone() string { return e.body.AvailabilityZone }

// Reason returns the reason that the operator gave, or an empty string.
func (e Evacuation) Reason() string { return e.body.Reason }

// Since returns the time of the first order to evacuate the zone.
func (e Evacuation) Since() time.Time { return e.body.Since }

// MarshalJSON encodes the fields that the control host sent.
func (e Evacuation) MarshalJSON() ([]byte, error) { return json.Marshal(e.body) }

// Evacuate requests that the endpoints of an availability zone take no new work until Reopen. An empty request id stands
// for a random one.
func (o *Operator) Evacuate(ctx context.Context, zone, reason, requestID string) (err error) {
	return o.evacuate(ctx, zone, requestID, EvacuateBody{Evacuated: true, Reason: reason})
}

// Reopen allows the endpoints of an availability zone to take new work again. An empty request id stands for a random one.
func (o *Operator) Reopen(ctx context.Context, zone, requestID string) (err error) {
	return o.evacuate(ctx, zone, requestID, EvacuateBody{})
}

func (o *Operator) evacuate(ctx context.Context, zone, requestID string, body EvacuateBody) (err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode evacuation: %w", err)
	}
	path := zonesPath + "/" + url.PathEscape(zone) + "/evacuate"
	return o.exchange(ctx, newMessage(http.MethodPost, path, "application/json", requestID, data), nil)
}

// Evacuations returns the evacuated availability zones.
func (o *Operator) Evacuations(ctx context.Context) (list []Evacuation, err error) {
	var body []EvacuationBody
	err = o.exchange(ctx, newMessage(http.MethodGet, evacuationsPath, "", "", nil), &body)
	list = make([]Evacuation, 0, len(body))
	for _, b := range body {
		list = append(list, Evacuation{body: b})
	}
	return list, err
}
