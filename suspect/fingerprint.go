package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"rhubarbpoint/engine"
)

// Fingerprint identifies a request by what could crash an engine: caller, model and messages.
type Fingerprint [16]byte

// ChatFingerprint returns the fingerprint of a chat request.
func ChatFingerprint(caller, model string, messages []engine.Message) Fingerprint {
	texts := []string{caller, model}
	for _, m := range messages {
		texts = append(texts, m.Role, m.Content)
	}
	return ContentFingerprint(texts...)
}

// ContentFingerprint returns the fingerprint of a request that is identified by a list of texts.
func ContentFingerprint(texts ...string) Fingerprint {
	digest := sha256.New()
	for _, text := range texts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		digest.Write(size[:])
		digest.Write([]byte(text))
	}
	var f Fingerprint
	copy(f[:], digest.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler, so that logs hold the same text as the state dump.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }
