package document

import (
	"fmt"
	"strings"
	"time"
)

// Kind is the kind of a key's value with its range; Convert and Allowed switch over it.
//
//sumtype:decl
type Kind interface{ isKind() }

type (
	textKind      struct{}
	nameKind      struct{}
	pathKind      struct{}
	choiceKind    struct{ values []string }
	listenKind    struct{}
	addressKind   struct{}
	addressesKind struct{}
	membersKind   struct{ most int }
	urlKind       struct{ bare bool }
	urlsKind      struct{}
	digestsKind   struct{}
	integerKind   struct{ least, most int64 }
	numberKind    struct{ least, most float64 }
	durationKind  struct{ least, most time.Duration }
)

func (textKind) isKind()      {}
func (nameKind) isKind()      {}
func (pathKind) isKind()      {}
func (choiceKind) isKind()    {}
func (listenKind) isKind()    {}
func (addressKind) isKind()   {}
func (addressesKind) isKind() {}
func (membersKind) isKind()   {}
func (urlKind) isKind()       {}
func (urlsKind) isKind()      {}
func (digestsKind) isKind()   {}
func (integerKind) isKind()   {}
func (numberKind) isKind()    {}
func (durationKind) isKind()  {}

// Text is a string without control characters; its Go type is string.
func Text() Kind { return textKind{} }

// Name is an identity of letters, digits, '-', '_' and '.'; its Go type is string.
func Name() Kind { return nameKind{} }

// Path is the path of a file or folder; its Go type is string.
func Path() Kind { return pathKind{} }

// Choice is one of the given strings; its Go type is string.
func Choice(values ...string) Kind { return choiceKind{values: values} }

// Listen is an IP:port to listen on, port 0 for any free one; its Go type is netip.AddrPort.
func Listen() Kind { return listenKind{} }

// Address is an IP:port that others reach; its Go type is netip.AddrPort.
func Address() Kind { return addressKind{} }

// Addresses is a list of Address; its Go type is []netip.AddrPort.
func Addresses() Kind { return addressesKind{} }

// Members is a table from id to Address with 1 to most entries; its Go type is map[string]netip.AddrPort.
func Members(most int) Kind { return membersKind{most: most} }

// HostURL is http://IP:port; its Go type is string.
func HostURL() Kind { return urlKind{bare: true} }

// URL is an http or https URL; its Go type is string.
func URL() Kind { return urlKind{} }

// HostURLs is a list of HostURL; its Go type is []string.
func HostURLs() Kind { return urlsKind{} }

// Digests is a list of token digests sha256:HEX; its Go type is []string.
func Digests() Kind { return digestsKind{} }

// Integer is a whole number from least to most; its Go type is int64.
func Integer(least, most int64) Kind { return integerKind{least: least, most: most} }

// Number is a decimal number from least to most; its Go type is float64.
func Number(least, most float64) Kind { return numberKind{least: least, most: most} }

// Duration is a string such as "3s" from least to most; its Go type is time.Duration.
func Duration(least, most time.Duration) Kind { return durationKind{least: least, most: most} }

// Allowed returns the values of a kind in words.
func Allowed(k Kind) string {
	switch k := k.(type) {
	case textKind:
		return "a string without control characters"
	case nameKind:
		return "1 to 63 letters, digits, '-', '_' or '.'"
	case pathKind:
		return "a path as a string"
	case choiceKind:
		return "one of " + strings.Join(k.values, ", ")
	case listenKind:
		return `"IP:port", port 0 for any free port`
	case addressKind:
		return `"IP:port" with a specified IP and a port from 1 to 65535`
	case addressesKind:
		return `a list of "IP:port", each once`
	case membersKind:
		return fmt.Sprintf(`a table of 1 to %d entries id = "IP:port", each address once`, k.most)
	case urlKind:
		if k.bare {
			return `"http://IP:port"`
		}
		return "an http or https URL"
	case urlsKind:
		return `a list of "http://IP:port"`
	case digestsKind:
		return `a list of "sha256:HEX" with 64 lower-case hexadecimal digits`
	case integerKind:
		return fmt.Sprintf("an integer from %d to %d", k.least, k.most)
	case numberKind:
		return fmt.Sprintf("a number from %g to %g", k.least, k.most)
	case durationKind:
		return fmt.Sprintf("a duration string from %s to %s", FormatDuration(k.least), FormatDuration(k.most))
	}
	return ""
}

// FormatDuration returns a duration without trailing zero units, such as 2m.
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
