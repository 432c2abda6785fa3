package telemetry

import (
	"fmt"
	"io"
)

// redacted is what every printed or encoded form of a secret shows.
const redacted = "redacted"

// Secret is a text, such as a bearer token, that no log, trace or JSON text may show.
type Secret struct {
	// fmt prints the unexported fields of a struct without calling their methods, so
	// the text is held where no printing of a containing struct reaches it.
	reveal func() string
}

// NewSecret returns the secret of a text.
func NewSecret(text string) Secret { return Secret{reveal: func() string { return text }} }

// Reveal returns the text for the one use that needs it.
func (s Secret) Reveal() string {
	if s.reveal == nil {
		return ""
	}
	return s.reveal()
}

// IsEmpty reports whether the text is empty.
func (s Secret) IsEmpty() bool { return s.Reveal() == "" }

// String returns "redacted".
func (s Secret) String() string { return redacted }

// Format writes "redacted" for every verb and flag.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText returns "redacted".
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// MarshalJSON returns "redacted" as a JSON string.
func (s Secret) MarshalJSON() ([]byte, error) { return []byte(`"` + redacted + `"`), nil }
