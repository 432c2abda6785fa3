package document

import (
	"fmt"
	"strings"
	"time"
)

// Kind is the type of a key's value with its allowed range; Convert and Allowed switch over it.
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
	membersKind   struct{ maximum int }
	urlKind       struct{ hostOnly bool }
	urlsKind      struct{}
	digestsKind   struct{}
	integerKind   struct{ minimum, maximum int64 }
	numberKind    struct{ minimum, maximum float64 }
	durationKind  struct{ minimum, maximum time.Duration }
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

// Name is an identity of 1 to 63 letters, digits, '-', '_' and '.'; its Go type is string.
func Name() Kind { return nameKind{} }

// Path is the path of a file or folder; its Go type is string.
func Path() Kind { return pathKind{} }

// Choice is one of the given strings; its Go type is string.
func Choice(values ...string) Kind { return choiceKind{values: values} }

// Listen is an IP:port to listen on, with port 0 for any free port; its Go type is netip.AddrPort.
func Listen() Kind { return listenKind{} }

// Address is an IP:port that other hosts can reach; its Go type is netip.AddrPort.
func Address() Kind { return addressKind{} }

// Addresses is a list of distinct values of kind Address; its Go type is []netip.AddrPort.
func Addresses() Kind { return addressesKind{} }

// Members is a table of 1 to maximum entries from a Name to an Address, each address once; its Go type is
// map[string]netip.AddrPort.
func Members(maximum int) Kind { return membersKind{maximum: maximum} }

// HostURL is http://IP:port; its Go type is string.
func HostURL() Kind { return urlKind{hostOnly: true} }

// URL is an http or https URL; its Go type is string.
func URL() Kind { return urlKind{} }

// HostURLs is a list of values of kind HostURL; its Go type is []string.
func HostURLs() Kind { return urlsKind{} }

// Digests is a list of token digests sha256:HEX; its Go type is []string.
func Digests() Kind { return digestsKind{} }

// Integer is an integer from minimum to maximum; its Go type is int64.
func Integer(minimum, maximum int64) Kind { return integerKind{minimum: minimum, maximum: maximum} }

// Number is an integer or a floating-point number from minimum to maximum; its Go type is float64.
func Number(minimum, maximum float64) Kind { return numberKind{minimum: minimum, maximum: maximum} }

// Duration is a string such as "3s" from minimum to maximum; its Go type is time.Duration.
func Duration(minimum, maximum time.Duration) Kind {
	return durationKind{minimum: minimum, maximum: maximum}
}

// Allowed describes the allowed values of a kind for error texts, examples and references.
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
		return fmt.Sprintf(`a table of 1 to %d entries id = "IP:port", each address once`, k.maximum)
	case urlKind:
		if k.hostOnly {
			return `"http://IP:port"`
		}
		return "an http or https URL"
	case urlsKind:
		return `a list of "http://IP:port"`
	case digestsKind:
		return `a list of "sha256:HEX" with 64 lower-case hexadecimal digits`
	case integerKind:
		return fmt.Sprintf("an integer from %d to %d", k.minimum, k.maximum)
	case numberKind:
		return fmt.Sprintf("a number from %g to %g", k.minimum, k.maximum)
	case durationKind:
		return fmt.Sprintf("a duration string from %s to %s", FormatDuration(k.minimum), FormatDuration(k.maximum))
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
