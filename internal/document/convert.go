package document

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"
	"unicode"
)

// Convert checks a raw TOML value against a kind and returns it as the Go type of the kind; the error names the allowed
// values.
func Convert(k Kind, raw any) (value any, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s (got %s); allowed: %s", err.Error(), formatRaw(raw), Allowed(k))
		}
	}()
	switch k := k.(type) {
	case textKind, nameKind, pathKind, choiceKind, listenKind, addressKind, urlKind, durationKind:
		s, ok := raw.(string)
		if !ok {
			return nil, fmt.Errorf("must be a string")
		}
		return convertString(k, s)
	case addressesKind:
		return convertAddresses(raw)
	case membersKind:
		return convertMembers(k, raw)
	case urlsKind:
		return convertStrings(urlKind{hostOnly: true}, raw)
	case digestsKind:
		return convertStrings(k, raw)
	case integerKind:
		n, ok := raw.(int64)
		if !ok {
			return nil, fmt.Errorf("must be an integer")
		}
		if n < k.minimum || n > k.maximum {
			return nil, fmt.Errorf("out of range")
		}
		return n, nil
	case numberKind:
		return convertNumber(k, raw)
	}
	return nil, fmt.Errorf("has no kind")
}

func convertString(k Kind, s string) (value any, err error) {
	switch k := k.(type) {
	case textKind, pathKind:
		if strings.ContainsFunc(s, unicode.IsControl) {
			return nil, fmt.Errorf("contains a control character")
		}
		return s, nil
	case nameKind:
		return s, checkName(s)
	case choiceKind:
		if !slices.Contains(k.values, s) {
			return nil, fmt.Errorf("unknown value")
		}
		return s, nil
	case listenKind:
		return parseAddress(s, true)
	case addressKind:
		return parseAddress(s, false)
	case urlKind:
		return s, checkURL(s, k.hostOnly)
	case digestsKind:
		return s, checkDigest(s)
	case durationKind:
		d, err := time.ParseDuration(s)
		if err != nil {
			return nil, fmt.Errorf("not a duration")
		}
		if d < k.minimum || d > k.maximum {
			return nil, fmt.Errorf("out of range")
		}
		return d, nil
	case addressesKind, membersKind, urlsKind, integerKind, numberKind:
		return nil, fmt.Errorf("must not be a string")
	}
	return nil, fmt.Errorf("has no kind")
}

func checkName(s string) error {
	const maxBytes = 63
	bad := func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
	}
	if s == "" || len(s) > maxBytes || strings.ContainsFunc(s, bad) {
		return fmt.Errorf("bad name")
	}
	return nil
}

func parseAddress(s string, listen bool) (a netip.AddrPort, err error) {
	a, err = netip.ParseAddrPort(s)
	if err != nil {
		return a, fmt.Errorf("bad address")
	}
	if !listen && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		return a, fmt.Errorf("not an address that others can reach")
	}
	return a, nil
}

func checkURL(s string, bare bool) error {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || u.User != nil || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("bad URL")
	}
	if !bare {
		return nil
	}
	if u.Scheme != "http" || strings.TrimSuffix(s, "/") != "http://"+u.Host {
		return fmt.Errorf("bad URL")
	}
	_, err = parseAddress(u.Host, false)
	return err
}

func checkDigest(s string) error {
	digits, ok := strings.CutPrefix(s, "sha256:")
	sum, err := hex.DecodeString(digits)
	if !ok || err != nil || len(sum) != 32 || digits != strings.ToLower(digits) {
		return fmt.Errorf("bad digest")
	}
	return nil
}

func convertStrings(k Kind, raw any) (list []string, err error) {
	items, ok := raw.([]any)
	if !ok {
		return nil, fmt.Errorf("must be a list")
	}
	for i, v := range items {
		s, ok := v.(string)
		if !ok {
			return nil, fmt.Errorf("element %d must be a string", i+1)
		}
		if _, err = convertString(k, s); err != nil {
			return nil, fmt.Errorf("element %d: %w", i+1, err)
		}
		list = append(list, s)
	}
	return list, nil
}

func convertAddresses(raw any) (list []netip.AddrPort, err error) {
	items, err := convertStrings(addressKind{}, raw)
	if err != nil {
		return nil, err
	}
	for i, s := range items {
		a := netip.MustParseAddrPort(s)
		if slices.Contains(list, a) {
			return nil, fmt.Errorf("element %d is listed twice", i+1)
		}
		list = append(list, a)
	}
	return list, nil
}

func convertMembers(k membersKind, raw any) (members map[string]netip.AddrPort, err error) {
	table, ok := raw.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("must be a table")
	}
	if len(table) < 1 || len(table) > k.maximum {
		return nil, fmt.Errorf("%d entries", len(table))
	}
	members = make(map[string]netip.AddrPort, len(table))
	owner := make(map[netip.AddrPort]string, len(table))
	for id, v := range table {
		s, ok := v.(string)
		if !ok {
			return nil, fmt.Errorf("entry %q must be a string", id)
		}
		if err = checkName(id); err != nil {
			return nil, fmt.Errorf("entry %q: %w", id, err)
		}
		a, err := parseAddress(s, false)
		if err != nil {
			return nil, fmt.Errorf("entry %q: %w", id, err)
		}
		if _, ok := owner[a]; ok {
			return nil, fmt.Errorf("address %s is listed twice", a)
		}
		members[id], owner[a] = a, id
	}
	return members, nil
}

func convertNumber(k numberKind, raw any) (n float64, err error) {
	switch v := raw.(type) {
	case int64:
		n = float64(v)
	case float64:
		n = v
	default:
		return 0, fmt.Errorf("must be a number")
	}
	// Both comparisons are false for NaN, so this form refuses it; n < minimum || n > maximum would accept it.
	if !(n >= k.minimum && n <= k.maximum) {
		return 0, fmt.Errorf("out of range")
	}
	return n, nil
}

// formatRaw returns a raw value for an error message; a list or a table as its type, a long value cut.
func formatRaw(raw any) string {
	const maxBytes = 60
	s := fmt.Sprintf("%#v", raw)
	switch v := raw.(type) {
	case string:
		s = fmt.Sprintf("%q", v)
	case int64, float64, bool:
		s = fmt.Sprint(v)
	case []any:
		s = fmt.Sprintf("a list of %d", len(v))
	case map[string]any:
		s = "a table"
	}
	if len(s) > maxBytes {
		return s[:maxBytes] + "..."
	}
	return s
}
