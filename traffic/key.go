package traffic

import (
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
)

// redactedKey replaces keys wherever they would be printed.
const redactedKey = "[key]"

// Key is the API key that a request carries. It holds only the SHA-256 hash of the key, and prints as a fixed text, so
// that no log line, state dump or message can show the key. The zero value is the key of a request without one.
type Key struct {
	hash  [sha256.Size]byte
	given bool
}

// NewKey returns the key of a request that carries the given text; the empty text is no key.
func NewKey(text string) Key {
	if text == "" {
		return Key{}
	}
	return Key{sha256.Sum256([]byte(text)), true}
}

// Given reports whether the request carries a key.
func (k Key) Given() bool { return k.given }

// Format implements fmt.Formatter for all verbs.
func (Key) Format(state fmt.State, _ rune) { io.WriteString(state, redactedKey) }

// LogValue implements slog.LogValuer.
func (Key) LogValue() slog.Value { return slog.StringValue(redactedKey) }

// MarshalText implements encoding.TextMarshaler, and with it the encoding as JSON.
func (Key) MarshalText() ([]byte, error) { return []byte(redactedKey), nil }
