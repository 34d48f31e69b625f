package ordering

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"

	"github.com/rotisserie/eris"
)

// ErrKey is returned for a key that can't sign orders.
var ErrKey = eris.New("orders key can't be used")

// ParseKey reads an Ed25519 private key from PEM (PKCS #8). Error: ErrKey.
func ParseKey(text []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, eris.Wrap(ErrKey, "no PEM block")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, eris.Wrap(ErrKey, err.Error())
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, eris.Wrap(ErrKey, "not an Ed25519 key")
	}
	return key, nil
}
