// Package membership implements a SWIM-style gossip protocol that decides which
// entry nodes are alive. Within a data centre it uses probes, indirect probes,
// suspicion and refutation by incarnation; between data centres it exchanges
// summaries. It does no I/O: time and the random source are arguments, messages
// are return values. Package udp runs it over a socket.
package membership

import "net/netip"

// Status is the state of a member in a node's view.
type Status uint8

// The statuses. Within one incarnation a later status overrides an earlier one.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// String returns the status as shown to operators.
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

// Member describes one entry node as gossip carries it.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Name is the VM's name.
	Name       string
	DataCentre string
	Region     string
	// Address is the node's peer address, for UDP and TCP.
	Address netip.AddrPort
	// Incarnation increases with each start and each refutation; only the member
	// itself increases it.
	Incarnation uint64
	Status      Status
	// Started is the start time of the member's process in Unix milliseconds.
	// Unlike Incarnation it does not change while the process runs.
	Started uint64
}

// Live reports whether the member counts as running; a suspect does.
func (m Member) Live() bool {
	return m.Status == Alive || m.Status == Suspect
}

// overrides reports whether m replaces the known entry of the same name.
func (m Member) overrides(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.Status > known.Status
}

// valid reports whether a decoded member is complete and within the length limits.
func (m Member) valid() bool {
	named := m.Name != "" && m.DataCentre != "" && m.Region != ""
	short := len(m.Name) <= maxNameBytes && len(m.DataCentre) <= maxNameBytes && len(m.Region) <= maxNameBytes
	return named && short && m.Address.IsValid() && m.Address.Port() != 0 && m.Status <= Left
}
