package ledger

import (
	"fmt"
	"strings"
)

// freshDigits is the length of the number at the end of a fresh id.
const freshDigits = 16

// MemberID names one disk of a control host; a host whose disk was emptied gets a new one.
type MemberID string

// FreshID returns the id of an emptied disk of a host; number is drawn at random, so that no earlier disk has the id.
func FreshID(host MemberID, number int64) MemberID {
	return MemberID(fmt.Sprintf("%s-%0*x", host, freshDigits, uint64(number)))
}

// host returns the id that the settings give to the host of the disk.
func (i MemberID) host() MemberID {
	cut := len(i) - freshDigits - 1
	if cut <= 0 || i[cut] != '-' || strings.Trim(string(i[cut+1:]), "0123456789abcdef") != "" {
		return i
	}
	return i[:cut]
}
