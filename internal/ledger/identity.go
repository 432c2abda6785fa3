package ledger

import (
	"fmt"
	"strings"
)

// freshSuffixDigits is the number of hexadecimal digits at the end of a fresh id.
const freshSuffixDigits = 16

// MemberID identifies a member together with its disk. A host whose disk was emptied receives a new id.
type MemberID string

// FreshID returns the id for an empty disk of a host. The number must be random, so that no earlier disk has the
// same id.
func FreshID(host MemberID, number int64) MemberID {
	return MemberID(fmt.Sprintf("%s-%0*x", host, freshSuffixDigits, uint64(number)))
}

// host returns the id without the suffix of a fresh id, which is the name of the host in the settings.
func (i MemberID) host() MemberID {
	end := len(i) - freshSuffixDigits - 1
	if end <= 0 || i[end] != '-' || strings.Trim(string(i[end+1:]), "0123456789abcdef") != "" {
		return i
	}
	return i[:end]
}
