package outcome

import (
	"encoding/json"
	"fmt"
)

// Body is the JSON body of a refused or lost request; Message is an explanation for people.
type Body struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	Message string  `json:"message"`
}

// ParseBody decodes a Body. It returns an error if data is not valid JSON; unknown fields are ignored.
func ParseBody(data []byte) (b Body, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("parse refusal: %w", err)
		}
	}()
	err = json.Unmarshal(data, &b)
	return b, err
}
