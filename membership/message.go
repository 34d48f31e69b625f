package membership

import (
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Kind is the type of a message.
type Kind uint8

// The message kinds.
const (
	// Ping requests an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping Target for the sender (indirect probe).
	PingRequest
	// Gossip carries updates only.
	Gossip
	// DataCentreSummary reports the sender's data centre to another one.
	DataCentreSummary
	// SyncRequest requests the members of the data centres whose hashes differ.
	SyncRequest
	// Sync carries one page of members.
	Sync
)

// Message is the content of one datagram before it is sealed.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind Kind
	// Sequence matches an Ack to its Ping.
	Sequence uint64
	// From and DataCentre identify the sender.
	From       string
	DataCentre string
	// SiteVersion is the version of the configuration in force at the sender.
	SiteVersion uint64
	// Hash covers all members that are live in the sender's view.
	Hash uint64
	// Target is the address that a PingRequest asks to have pinged.
	Target netip.AddrPort
	// Scope limits a SyncRequest and its pages to one data centre; empty means all.
	Scope     string
	Updates   Members
	Summaries Summaries
}

// Summary describes one data centre to the others.
type Summary struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	DataCentre string
	// Heartbeat increases while the data centre is up.
	Heartbeat uint64
	// Hash covers the live members of the data centre.
	Hash uint64
}

// Members holds the updates of one message; its length is bounded when decoded.
type Members []Member

// DecodeMsgpack checks the length before it allocates memory. It returns
// ErrDatagram for a list that is too long.
func (m *Members) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeBounded((*[]Member)(m), maxUpdates, decoder)
}

// Summaries holds the summaries of one message; its length is bounded when decoded.
type Summaries []Summary

// DecodeMsgpack checks the length before it allocates memory. It returns
// ErrDatagram for a list that is too long.
func (s *Summaries) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeBounded((*[]Summary)(s), maxSummaries, decoder)
}

func decodeBounded[T any](list *[]T, maxLength int, decoder *msgpack.Decoder) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if length > maxLength {
		return eris.Wrap(ErrDatagram, "list too long")
	}
	*list = nil
	for range length {
		var entry T
		if err := decoder.Decode(&entry); err != nil {
			return err
		}
		*list = append(*list, entry)
	}
	return nil
}

// Packet is a message and the address to send it to.
type Packet struct {
	To      netip.AddrPort
	Message Message
}
