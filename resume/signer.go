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
	// keyLabel keeps this key apart from others derived from the same secret.
	keyLabel = "wigeontiller resume token v1"
	// MaxTokenBytes bounds a token's text.
	MaxTokenBytes = 4 << 10
	separator     = "."
)

// The errors of tokens.
var (
	// ErrMalformed is returned for a text that is no token.
	ErrMalformed = eris.New("malformed resume token")
	// ErrSignature is returned for a token that was not signed with the key.
	ErrSignature = eris.New("resume token has a wrong signature")
	// ErrExpired is returned for a token whose deadline has passed.
	ErrExpired = eris.New("resume token has expired")
)

// encoding is strict, so that each token has one text only.
var encoding = base64.RawURLEncoding.Strict()

// Signer signs and checks tokens. It is safe for concurrent use.
type Signer struct {
	key []byte
}

// NewSigner derives the signing key from a deployment's secret. Nodes with the
// same secret accept each other's tokens.
func NewSigner(secret []byte) (*Signer, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, keyLabel, sha256.Size)
	if err != nil {
		return nil, eris.Wrap(err, "derive the key of resume tokens")
	}
	return &Signer{key: key}, nil
}

// Sign returns the token's text, which fits in a header and in an event's id.
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

// Open checks a token's text. Errors: ErrMalformed, ErrSignature, ErrExpired.
func (s *Signer) Open(text string, now time.Time) (Token, error) {
	if len(text) > MaxTokenBytes {
		return Token{}, ErrMalformed
	}
	left, right, _ := strings.Cut(text, separator)
	payload, err := encoding.DecodeString(left)
	if err != nil {
		return Token{}, ErrMalformed
	}
	mac, err := encoding.DecodeString(right)
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
