package settings

import (
	"net/netip"
	"time"

	"rosemarywind.example/rosemarywind/internal/document"
)

// definition describes a key for the checks, the examples and the reference; doc is its meaning in words.
type definition struct {
	name         string
	kind         document.Kind
	defaultValue any
	required     bool
	unit         string
	example      any
	doc          string
}

// key is a defined key whose converted value has the Go type T.
type key[T any] struct{ definition }

// get returns the key's value in v, or the zero value if it is not set.
func (k key[T]) get(v values) T {
	value, _ := v.byKey[k.name].(T)
	return value
}

// withDefault returns the key with a default, given as a raw TOML value.
func (k key[T]) withDefault(raw any) key[T] {
	k.defaultValue = raw
	return k
}

// asRequired returns the key as required, with an example, given as a raw TOML value.
func (k key[T]) asRequired(example any) key[T] {
	k.required, k.example = true, example
	return k
}

func text(name, doc string) key[string] {
	return key[string]{definition{name: name, kind: document.Text(), doc: doc}}
}

func name(name, doc string) key[string] {
	return key[string]{definition{name: name, kind: document.Name(), doc: doc}}
}

func path(name, doc string) key[string] {
	return key[string]{definition{name: name, kind: document.Path(), doc: doc}}
}

func choice(name, doc string, allowed ...string) key[string] {
	return key[string]{definition{name: name, kind: document.Choice(allowed...), doc: doc}}
}

func hostURL(name, doc string) key[string] {
	return key[string]{definition{name: name, kind: document.HostURL(), doc: doc}}
}

func anyURL(name, doc string) key[string] {
	return key[string]{definition{name: name, kind: document.URL(), doc: doc}}
}

func hostURLs(name, doc string) key[[]string] {
	return key[[]string]{definition{name: name, kind: document.HostURLs(), doc: doc}}
}

func digests(name, doc string) key[[]string] {
	return key[[]string]{definition{name: name, kind: document.Digests(), doc: doc}}
}

func listenAddress(name, doc string) key[netip.AddrPort] {
	return key[netip.AddrPort]{definition{name: name, kind: document.Listen(), doc: doc}}
}

func address(name, doc string) key[netip.AddrPort] {
	return key[netip.AddrPort]{definition{name: name, kind: document.Address(), doc: doc}}
}

func addresses(name, doc string) key[[]netip.AddrPort] {
	return key[[]netip.AddrPort]{definition{name: name, kind: document.Addresses(), doc: doc}}
}

func members(name, doc string) key[map[string]netip.AddrPort] {
	return key[map[string]netip.AddrPort]{definition{name: name, kind: document.Members(maxMembers), doc: doc}}
}

func integer(name, unit string, minimum, maximum int64, doc string) key[int64] {
	return key[int64]{definition{name: name, kind: document.Integer(minimum, maximum), unit: unit, doc: doc}}
}

func number(name string, minimum, maximum float64, doc string) key[float64] {
	return key[float64]{definition{name: name, kind: document.Number(minimum, maximum), doc: doc}}
}

func duration(name string, minimum, maximum time.Duration, doc string) key[time.Duration] {
	return key[time.Duration]{definition{name: name, kind: document.Duration(minimum, maximum), unit: "duration", doc: doc}}
}
