package membership

import (
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Kind names what a message is for.
type Kind uint8

// The kinds of message.
const (
	// Ping asks for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks a third node to ping Target.
	PingRequest
	// Gossip carries updates only.
	Gossip
	// SummaryNote tells another data centre of the sender's.
	SummaryNote
	// SyncRequest asks for the members of the data centres whose hash differs.
	SyncRequest
	// Sync carries one page of members.
	Sync
)

// Message is one datagram before it is sealed.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind Kind
	// Sequence ties an Ack to its Ping.
	Sequence uint64
	// From and DataCentre name the sender.
	From       string
	DataCentre string
	// SiteVersion is the configuration in force at the sender.
	SiteVersion uint64
	// Hash covers all members that the sender holds as live.
	Hash uint64
	// Target is whom a PingRequest asks for.
	Target netip.AddrPort
	// Scope narrows a SyncRequest and its pages to one data centre; empty asks for all.
	Scope     string
	Updates   Members
	Summaries Summaries
}

// Summary is what other data centres see of one.
type Summary struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	DataCentre string
	// Beat grows while the data centre is up.
	Beat uint64
	// Hash covers its live members.
	Hash uint64
}

// Members are the updates of one message, bounded when decoded.
type Members []Member

// DecodeMsgpack checks the length before anything is allocated for it.
func (m *Members) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeBounded((*[]Member)(m), maxUpdates, decoder)
}

// Summaries are the summaries of one message, bounded when decoded.
type Summaries []Summary

// DecodeMsgpack checks the length before anything is allocated for it.
func (s *Summaries) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeBounded((*[]Summary)(s), maxSummaries, decoder)
}

func decodeBounded[T any](list *[]T, most int, decoder *msgpack.Decoder) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if length > most {
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

// Packet is a message and where to send it.
type Packet struct {
	To      netip.AddrPort
	Message Message
}
