// Package membership decides which entry nodes are alive. It is a state machine
// after SWIM: probes, indirect probes, suspicion and refutation by incarnation
// inside a data centre, summaries between data centres. It does no I/O: time
// and the random source are arguments, messages are return values. The UDP
// shell is in the folder below.
package membership

import "net/netip"

// Status is what is believed of a member.
type Status uint8

// The statuses, in the order in which one overrides another of the same incarnation.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// String returns the status as operators read it.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Member is one entry node as gossip tells of it.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Name is the VM's name.
	Name       string
	DataCentre string
	Region     string
	// Address is the node's peer address, for UDP and TCP.
	Address netip.AddrPort
	// Incarnation grows with each start and each refutation; only the member
	// itself raises it.
	Incarnation uint64
	Status      Status
	// Started is when the member's process started, in Unix milliseconds. Unlike
	// Incarnation it stays the same while the process lives.
	Started uint64
}

// Live reports whether the member still counts as there; a suspect does.
func (m Member) Live() bool {
	return m.Status == Alive || m.Status == Suspect
}

// overrides reports whether m replaces what is known of the same name.
func (m Member) overrides(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.Status > known.Status
}

// valid reports whether a decoded member can be kept.
func (m Member) valid() bool {
	named := m.Name != "" && m.DataCentre != "" && m.Region != ""
	short := len(m.Name) <= maxName && len(m.DataCentre) <= maxName && len(m.Region) <= maxName
	return named && short && m.Address.IsValid() && m.Address.Port() != 0 && m.Status <= Left
}
