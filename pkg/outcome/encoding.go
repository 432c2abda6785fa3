package outcome

import (
	"encoding/json"
	"fmt"
)

// Body is the JSON body of a refusal.
type Body struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	Message string  `json:"message"`
}

// ParseBody decodes the JSON body of a refusal.
func ParseBody(data []byte) (b Body, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("parse refusal: %w", err)
		}
	}()
	err = json.Unmarshal(data, &b)
	return b, err
}
