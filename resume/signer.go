package resume

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// keyLabel separates this key from others derived from the same secret.
	keyLabel = "wigeontiller resume token v1"
	// MaxTokenBytes limits the length of an encoded token.
	MaxTokenBytes = 4 << 10
	// separator separates the payload from the signature.
	separator = "."
)

// The errors of tokens.
var (
	// ErrMalformed is returned for a text that is not a token or event id, and for a
	// token that can't be encoded.
	ErrMalformed = eris.New("malformed resume token")
	// ErrSignature is returned for a token that was not signed with this key.
	ErrSignature = eris.New("invalid resume token signature")
	// ErrExpired is returned for a token whose deadline has passed.
	ErrExpired = eris.New("resume token has expired")
)

// encoding is strict, so that each token has exactly one valid text.
var encoding = base64.RawURLEncoding.Strict()

// Signer signs and verifies tokens. It is safe for concurrent use.
type Signer struct {
	key []byte
}

// NewSigner derives the signing key from a deployment's secret. Nodes with the
// same secret accept each other's tokens.
func NewSigner(secret []byte) (*Signer, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, keyLabel, sha256.Size)
	if err != nil {
		return nil, eris.Wrap(err, "derive resume token key")
	}
	return &Signer{key: key}, nil
}

// Sign returns the token's text, which fits in a header and in an event id. Errors:
// ErrMalformed, also if the text would exceed MaxTokenBytes.
func (s *Signer) Sign(token Token) (string, error) {
	payload, err := json.Marshal(token)
	if err != nil {
		return "", eris.Wrap(ErrMalformed, err.Error())
	}
	text := encoding.EncodeToString(payload) + separator + encoding.EncodeToString(s.mac(payload))
	if len(text) > MaxTokenBytes {
		return "", ErrMalformed
	}
	return text, nil
}

// Open verifies and decodes a token's text. Errors: ErrMalformed, ErrSignature,
// ErrExpired.
func (s *Signer) Open(text string, now time.Time) (Token, error) {
	if len(text) > MaxTokenBytes {
		return Token{}, ErrMalformed
	}
	encodedPayload, encodedMAC, _ := strings.Cut(text, separator)
	payload, err := encoding.DecodeString(encodedPayload)
	if err != nil {
		return Token{}, ErrMalformed
	}
	mac, err := encoding.DecodeString(encodedMAC)
	if err != nil || strings.ContainsAny(text, "\r\n") {
		return Token{}, ErrMalformed
	}
	if !hmac.Equal(mac, s.mac(payload)) {
		return Token{}, ErrSignature
	}
	var token Token
	if err := json.Unmarshal(payload, &token); err != nil {
		return Token{}, ErrMalformed
	}
	if !now.Before(token.Deadline) {
		return Token{}, ErrExpired
	}
	return token, nil
}

func (s *Signer) mac(payload []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	_, _ = mac.Write(payload)
	return mac.Sum(nil)
}
