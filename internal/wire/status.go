package wire

import (
	"fmt"
	"io"
)

// Code says whether the receiver takes up a stream.
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

// StatusError is a status other than OK.
type StatusError struct {
	code    Code
	leader  string
	message string
}

// NewStatusError returns a status; leader is the leader's address if it is known.
func NewStatusError(code Code, leader, message string) *StatusError {
	return &StatusError{code: code, leader: leader, message: message}
}

// Error returns the code and the message.
func (s *StatusError) Error() string { return fmt.Sprintf("%s: %s", s.code, s.message) }

// Code returns why the stream was not taken up.
func (s *StatusError) Code() Code { return s.code }

// Leader returns the IP address and port of the leader, or an empty string.
func (s *StatusError) Leader() string { return s.leader }

// WriteStatus writes OK for a nil error, or the error.
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
		return unexpected(err)
	}
	if f.Code == OK {
		return nil
	}
	return &StatusError{code: f.Code, leader: f.Leader, message: f.Message}
}
