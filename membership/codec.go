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
	// MaxDatagramBytes limits a sealed datagram; it is below the usual path MTU.
	MaxDatagramBytes = 1400
	maxNameBytes     = 64
	maxUpdates       = 64
	maxSummaries     = 64
	// compressFromBytes is the size from which compression is tried; probes without
	// updates are smaller and do not benefit.
	compressFromBytes = 256
	// maxPlainBytes limits the size of a decompressed message.
	maxPlainBytes = 16 << 10
	keyPurpose    = "wigeontiller membership datagram v2"
)

// The first byte of a decrypted message is the encoding of the bytes that follow.
const (
	encodingPlain byte = iota
	encodingS2
)

// The errors of the codec.
var (
	// ErrKey is returned when the key can't be derived or no nonce can be generated.
	ErrKey = eris.New("cannot create membership key or nonce")
	// ErrDatagram is returned for a message that can't be encoded, and for a datagram
	// that was not sealed with the key or is malformed.
	ErrDatagram = eris.New("invalid membership datagram")
)

// Codec seals and opens datagrams under one key. It is safe for concurrent use.
//
// Replayed datagrams do little harm: a later incarnation of a member overrides
// replayed entries for it, and a site version is only a hint to fetch. At worst a
// replay delays the suspicion of the original sender's address.
type Codec struct {
	aead cipher.AEAD
}

// NewCodec derives the datagram key from the shared peer key. Errors: ErrKey.
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

// Seal encodes a message and encrypts it under a fresh nonce. Errors:
// ErrDatagram, ErrKey.
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

// Open decrypts and validates a datagram. Errors: ErrDatagram.
func (c *Codec) Open(datagram []byte) (Message, error) {
	size := c.aead.NonceSize()
	if len(datagram) < size || len(datagram) > MaxDatagramBytes {
		return Message{}, eris.Wrap(ErrDatagram, "datagram size out of bounds")
	}
	plain, err := c.aead.Open(nil, datagram[:size], datagram[size:], nil)
	if err != nil {
		return Message{}, eris.Wrap(ErrDatagram, err.Error())
	}
	return c.decode(plain)
}

// encode marshals a message and compresses it if that makes it smaller.
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
		return Message{}, eris.Wrap(ErrDatagram, "empty message")
	}
	encoding, packed := plain[0], plain[1:]
	switch encoding {
	case encodingPlain:
		return unmarshal(packed)
	case encodingS2:
		return decompress(packed)
	}
	return Message{}, eris.Wrap(ErrDatagram, "unknown encoding")
}

func decompress(packed []byte) (Message, error) {
	size, err := s2.DecodedLen(packed)
	if err != nil || size > maxPlainBytes {
		return Message{}, eris.Wrap(ErrDatagram, "invalid decompressed size")
	}
	decompressed, err := s2.Decode(nil, packed)
	if err != nil {
		return Message{}, eris.Wrap(ErrDatagram, err.Error())
	}
	return unmarshal(decompressed)
}

func unmarshal(packed []byte) (Message, error) {
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
	named := m.From != "" && len(m.From) <= maxNameBytes && m.DataCentre != "" && len(m.DataCentre) <= maxNameBytes
	if !known || !named || len(m.Updates) > maxUpdates || len(m.Summaries) > maxSummaries {
		return false
	}
	for _, update := range m.Updates {
		if !update.valid() {
			return false
		}
	}
	for _, summary := range m.Summaries {
		if summary.DataCentre == "" || len(summary.DataCentre) > maxNameBytes {
			return false
		}
	}
	return true
}
