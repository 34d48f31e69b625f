package observe

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/orphan"
)

// minQueryAge is the age from which a stream's owner is queried for it.
const minQueryAge = time.Minute

// Response is a peer's response to a published message.
type Response struct {
	// Process identifies the peer's process; it changes with each start.
	Process string
	// NotHeld lists the queried streams that the peer doesn't hold.
	NotHeld []string
	// Complete is false when the peer's tables lack one of the engines.
	Complete bool
}

// responseCache keeps the latest response of each live peer, by name.
type responseCache struct{ latest map[string]processResponse }

// processResponse is a response and the process of the peer that was queried.
type processResponse struct {
	Response
	from processID
}

// prune drops the responses of processes that are gone.
func (b *responseCache) prune(live []Peer) {
	remaining := map[string]processResponse{}
	for _, one := range live {
		if response, ok := b.latest[one.Name]; ok && response.from == one.processID() {
			remaining[one.Name] = response
		}
	}
	b.latest = remaining
}

// store keeps a response; a zero response means that the peer did not respond.
func (b *responseCache) store(from Peer, response Response) {
	if response.Process != "" {
		b.latest[from.Name] = processResponse{Response: response, from: from.processID()}
	}
}

// streamsToQuery returns the IDs of streams owned by a peer that are at least
// minQueryAge old.
func streamsToQuery(peer Peer, observations []Observation) []string {
	var queried []string
	for _, one := range observations {
		for _, s := range one.Load.Streams {
			if s.Owner.Node == peer.Name && s.Age >= minQueryAge {
				queried = append(queried, s.ID)
			}
		}
	}
	return queried
}

// streamStanding returns the standing of a stream's owner, from membership and
// from the owner's latest response.
func (p *Poller) streamStanding(s orphan.Stream) orphan.OwnerState {
	self := p.config.Members.Self()
	if s.Owner == self {
		return heldOrUnlisted(p.config.Members.Holds(s.ID))
	}
	if s.Owner.Node == self.Node {
		return orphan.Gone
	}
	standing := p.config.Members.Standing(s.Owner)
	response, responded := p.responses.latest[s.Owner.Node]
	if standing != orphan.Held || !responded {
		return standing
	}
	if response.Process != s.Owner.Process {
		return orphan.Gone
	}
	return heldOrUnlisted(!slices.Contains(response.NotHeld, s.ID))
}

func heldOrUnlisted(held bool) orphan.OwnerState {
	if held {
		return orphan.Held
	}
	return orphan.NotHeld
}
