package settings

import (
	"net/netip"
	"time"

	"rosemarywind.example/rosemarywind/internal/document"
)

// declared is what the checks, the examples and the reference need of a key.
type declared struct {
	name     string
	kind     document.Kind
	fallback any
	required bool
	unit     string
	example  any
	doc      string
}

// key is a declared key whose value has the Go type T.
type key[T any] struct{ declared }

// of returns the key's value, or the zero value when it is unset.
func (k key[T]) of(v values) T {
	value, _ := v.byKey[k.name].(T)
	return value
}

// withDefault returns the key with a default in TOML form.
func (k key[T]) withDefault(raw any) key[T] {
	k.fallback = raw
	return k
}

// needed returns the key as required, with an example in TOML form.
func (k key[T]) needed(example any) key[T] {
	k.required, k.example = true, example
	return k
}

func text(name, doc string) key[string] {
	return key[string]{declared{name: name, kind: document.Text(), doc: doc}}
}

func name(name, doc string) key[string] {
	return key[string]{declared{name: name, kind: document.Name(), doc: doc}}
}

func path(name, doc string) key[string] {
	return key[string]{declared{name: name, kind: document.Path(), doc: doc}}
}

func choice(name, doc string, allowed ...string) key[string] {
	return key[string]{declared{name: name, kind: document.Choice(allowed...), doc: doc}}
}

func hostURL(name, doc string) key[string] {
	return key[string]{declared{name: name, kind: document.HostURL(), doc: doc}}
}

func anyURL(name, doc string) key[string] {
	return key[string]{declared{name: name, kind: document.URL(), doc: doc}}
}

func hostURLs(name, doc string) key[[]string] {
	return key[[]string]{declared{name: name, kind: document.HostURLs(), doc: doc}}
}

func digests(name, doc string) key[[]string] {
	return key[[]string]{declared{name: name, kind: document.Digests(), doc: doc}}
}

func listenAddress(name, doc string) key[netip.AddrPort] {
	return key[netip.AddrPort]{declared{name: name, kind: document.Listen(), doc: doc}}
}

func address(name, doc string) key[netip.AddrPort] {
	return key[netip.AddrPort]{declared{name: name, kind: document.Address(), doc: doc}}
}

func addresses(name, doc string) key[[]netip.AddrPort] {
	return key[[]netip.AddrPort]{declared{name: name, kind: document.Addresses(), doc: doc}}
}

func members(name, doc string) key[map[string]netip.AddrPort] {
	return key[map[string]netip.AddrPort]{declared{name: name, kind: document.Members(mostMembers), doc: doc}}
}

func integer(name, unit string, least, most int64, doc string) key[int64] {
	return key[int64]{declared{name: name, kind: document.Integer(least, most), unit: unit, doc: doc}}
}

func number(name string, least, most float64, doc string) key[float64] {
	return key[float64]{declared{name: name, kind: document.Number(least, most), doc: doc}}
}

func duration(name string, least, most time.Duration, doc string) key[time.Duration] {
	return key[time.Duration]{declared{name: name, kind: document.Duration(least, most), unit: "duration", doc: doc}}
}
