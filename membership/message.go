package membership

import "net/netip"

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
	Updates   []Member
	Summaries []Summary
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

// Packet is a message and where to send it.
type Packet struct {
	To      netip.AddrPort
	Message Message
}
