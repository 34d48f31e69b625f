package ordering

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"

	"github.com/rotisserie/eris"
)

// ErrInvalidKey is returned for a key that can't sign orders.
var ErrInvalidKey = eris.New("invalid orders key")

// ParseKey reads an Ed25519 private key from PEM (PKCS #8). Error: ErrInvalidKey.
func ParseKey(text []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, eris.Wrap(ErrInvalidKey, "no PEM block")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, eris.Wrap(ErrInvalidKey, err.Error())
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, eris.Wrap(ErrInvalidKey, "not an Ed25519 key")
	}
	return key, nil
}
