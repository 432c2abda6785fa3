package telemetry

import (
	"fmt"
	"io"
)

// redacted is the text of every formatted or encoded secret.
const redacted = "redacted"

// Secret is a text, such as a bearer token, that must not appear in logs, traces or JSON.
type Secret struct {
	// fmt prints the unexported fields of a struct without calling their methods. A closure holds
	// the text, so that printing a struct that contains the secret does not show it.
	reveal func() string
}

// NewSecret returns a secret that holds the text.
func NewSecret(text string) Secret { return Secret{reveal: func() string { return text }} }

// Reveal returns the text; call it only where the text itself is sent or compared. It is empty for the zero Secret.
func (s Secret) Reveal() string {
	if s.reveal == nil {
		return ""
	}
	return s.reveal()
}

// IsEmpty reports whether the text is empty, as that of the zero Secret is.
func (s Secret) IsEmpty() bool { return s.Reveal() == "" }

// String returns "redacted" instead of the text.
func (s Secret) String() string { return redacted }

// Format writes "redacted" for every verb and flag.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText returns "redacted" instead of the text.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// MarshalJSON returns the JSON string "redacted" instead of the text.
func (s Secret) MarshalJSON() ([]byte, error) { return []byte(`"` + redacted + `"`), nil }
