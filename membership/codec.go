package membership

import (
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"

	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/crypto/chacha20poly1305"
)

const (
	// MaxDatagramBytes bounds a sealed datagram, below the usual path limit.
	MaxDatagramBytes = 1400
	maxName          = 64
	maxUpdates       = 64
	maxSummaries     = 64
	// compressFromBytes is the size from which compression is tried; a probe
	// without updates is smaller and gains nothing.
	compressFromBytes = 256
	// maxPlainBytes bounds a message before it is compressed.
	maxPlainBytes = 16 << 10
	keyPurpose    = "wigeontiller membership datagram v2"
)

// The first byte of a plain message tells how the rest is encoded.
const (
	encodingPlain byte = iota
	encodingS2
)

// The errors of the codec.
var (
	// ErrKey is returned when no key can be derived.
	ErrKey = eris.New("membership key can't be used")
	// ErrDatagram is returned for a datagram that is not ours, or malformed.
	ErrDatagram = eris.New("datagram refused")
)

// Codec seals and opens datagrams under one key. It is safe for concurrent use.
//
// A datagram replayed by somebody else is harmless to membership: what it says
// of a member is overridden by that member's later incarnation, and a site
// version is only a hint to ask. At worst it delays the suspicion of its sender's address.
type Codec struct {
	aead cipher.AEAD
}

// NewCodec derives the datagram key from the shared peer key.
func NewCodec(peerKey string) (*Codec, error) {
	key, err := hkdf.Key(sha256.New, []byte(peerKey), nil, keyPurpose, chacha20poly1305.KeySize)
	if err != nil {
		return nil, eris.Wrap(ErrKey, err.Error())
	}
	aead, err := chacha20poly1305.NewX(key)
	if err != nil {
		return nil, eris.Wrap(ErrKey, err.Error())
	}
	return &Codec{aead: aead}, nil
}

// Seal encodes and encrypts a message under a fresh nonce.
func (c *Codec) Seal(message Message) ([]byte, error) {
	plain, err := c.encode(message)
	if err != nil {
		return nil, eris.Wrap(ErrDatagram, err.Error())
	}
	nonce := make([]byte, c.aead.NonceSize(), c.aead.NonceSize()+len(plain)+c.aead.Overhead())
	if _, err := rand.Read(nonce); err != nil {
		return nil, eris.Wrap(ErrKey, err.Error())
	}
	return c.aead.Seal(nonce, nonce, plain, nil), nil
}

// Open decrypts and checks a datagram.
func (c *Codec) Open(datagram []byte) (Message, error) {
	size := c.aead.NonceSize()
	if len(datagram) < size || len(datagram) > MaxDatagramBytes {
		return Message{}, eris.Wrap(ErrDatagram, "size")
	}
	plain, err := c.aead.Open(nil, datagram[:size], datagram[size:], nil)
	if err != nil {
		return Message{}, eris.Wrap(ErrDatagram, err.Error())
	}
	return c.decode(plain)
}

// encode compresses a message where that makes it smaller.
func (c *Codec) encode(message Message) ([]byte, error) {
	packed, err := msgpack.Marshal(&message)
	if err != nil {
		return nil, err
	}
	if len(packed) >= compressFromBytes {
		if compressed := s2.EncodeBetter(nil, packed); len(compressed) < len(packed) {
			return append([]byte{encodingS2}, compressed...), nil
		}
	}
	return append([]byte{encodingPlain}, packed...), nil
}

func (c *Codec) decode(plain []byte) (Message, error) {
	if len(plain) == 0 {
		return Message{}, eris.Wrap(ErrDatagram, "empty")
	}
	encoding, packed := plain[0], plain[1:]
	switch encoding {
	case encodingPlain:
		return unpack(packed)
	case encodingS2:
		return decompress(packed)
	}
	return Message{}, eris.Wrap(ErrDatagram, "unknown encoding")
}

func decompress(packed []byte) (Message, error) {
	size, err := s2.DecodedLen(packed)
	if err != nil || size > maxPlainBytes {
		return Message{}, eris.Wrap(ErrDatagram, "compressed size")
	}
	whole, err := s2.Decode(nil, packed)
	if err != nil {
		return Message{}, eris.Wrap(ErrDatagram, err.Error())
	}
	return unpack(whole)
}

func unpack(packed []byte) (Message, error) {
	var message Message
	if err := msgpack.Unmarshal(packed, &message); err != nil {
		return Message{}, eris.Wrap(ErrDatagram, err.Error())
	}
	if !message.valid() {
		return Message{}, eris.Wrap(ErrDatagram, "field out of bounds")
	}
	return message, nil
}

func (m Message) valid() bool {
	known := m.Kind >= Ping && m.Kind <= Sync
	named := m.From != "" && len(m.From) <= maxName && m.DataCentre != "" && len(m.DataCentre) <= maxName
	if !known || !named || len(m.Updates) > maxUpdates || len(m.Summaries) > maxSummaries {
		return false
	}
	for _, update := range m.Updates {
		if !update.valid() {
			return false
		}
	}
	for _, summary := range m.Summaries {
		if summary.DataCentre == "" || len(summary.DataCentre) > maxName {
			return false
		}
	}
	return true
}
