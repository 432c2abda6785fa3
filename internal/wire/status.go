package wire

import (
	"fmt"
	"io"
)

// Code states whether the receiver accepts a stream, and if not, why.
type Code string

// The codes of a status.
const (
	OK          Code = "ok"
	NotLeader   Code = "not-leader"
	Unavailable Code = "unavailable"
	Unknown     Code = "unknown-outcome"
	Invalid     Code = "invalid"
	Denied      Code = "denied"
)

type statusForm struct {
	Code    Code   `cbor:"1,keyasint"`
	Leader  string `cbor:"2,keyasint,omitempty"`
	Message string `cbor:"3,keyasint,omitempty"`
}

// StatusError is a status other than OK as an error.
type StatusError struct {
	code    Code
	leader  string
	message string
}

// NewStatusError returns a status other than OK; leader is the leader's address, or empty if it is unknown.
func NewStatusError(code Code, leader, message string) *StatusError {
	return &StatusError{code: code, leader: leader, message: message}
}

// Error returns the code and the message, which is text for a human reader.
func (s *StatusError) Error() string { return fmt.Sprintf("%s: %s", s.code, s.message) }

// Code returns the reason for which the stream was not accepted.
func (s *StatusError) Code() Code { return s.code }

// Leader returns the IP address and port of the leader, or an empty string.
func (s *StatusError) Leader() string { return s.leader }

// WriteStatus writes s, or OK if s is nil.
func WriteStatus(w io.Writer, s *StatusError) error {
	if s == nil {
		return writeFrame(w, statusForm{Code: OK})
	}
	return writeFrame(w, statusForm{Code: s.code, Leader: s.leader, Message: s.message})
}

// ReadStatus returns nil for OK and a *StatusError for any other code.
func ReadStatus(r io.Reader) (err error) {
	defer annotate("read status", &err)
	var f statusForm
	if err = readFrame(r, &f, maxOpeningBytes); err != nil {
		return unexpectedEOF(err)
	}
	if f.Code == OK {
		return nil
	}
	return &StatusError{code: f.Code, leader: f.Leader, message: f.Message}
}
