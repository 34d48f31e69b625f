package observe

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/orphan"
)

// askAge is the age from which an owner is asked whether it holds a stream.
const askAge = time.Minute

// Answer is what a peer says to a letter.
type Answer struct {
	// Process tells the peer's starts apart.
	Process string
	// Unheld are those of the asked streams that the peer doesn't hold.
	Unheld []string
	// Complete is false when the peer doesn't know one of the engines.
	Complete bool
}

// peerBook keeps the last answer of each live peer, by name.
type peerBook struct{ answers map[string]noted }

// noted is an answer and which process of the peer was asked.
type noted struct {
	Answer
	from process
}

// forget drops the answers of processes that are gone.
func (b *peerBook) forget(live []Peer) {
	kept := map[string]noted{}
	for _, one := range live {
		if answer, ok := b.answers[one.Name]; ok && answer.from == one.process() {
			kept[one.Name] = answer
		}
	}
	b.answers = kept
}

// note keeps an answer; a zero one was none.
func (b *peerBook) note(from Peer, answer Answer) {
	if answer.Process != "" {
		b.answers[from.Name] = noted{Answer: answer, from: from.process()}
	}
}

// askedOf returns the old streams that engines list for a peer.
func askedOf(peer Peer, observations []Observation) []string {
	var asked []string
	for _, one := range observations {
		for _, s := range one.Load.Streams {
			if s.Owner.Node == peer.Name && s.Age >= askAge {
				asked = append(asked, s.ID)
			}
		}
	}
	return asked
}

// standing tells what is known of a stream's owner, by the members and by the
// owner's own word.
func (p *Poller) standing(s orphan.Stream) orphan.Standing {
	self := p.config.Members.Self()
	if s.Owner == self {
		return heldIf(p.config.Members.Holds(s.ID))
	}
	if s.Owner.Node == self.Node {
		return orphan.Gone
	}
	standing := p.config.Members.Standing(s.Owner)
	answer, answered := p.peers.answers[s.Owner.Node]
	if standing != orphan.Held || !answered {
		return standing
	}
	if answer.Process != s.Owner.Process {
		return orphan.Gone
	}
	return heldIf(!slices.Contains(answer.Unheld, s.ID))
}

func heldIf(held bool) orphan.Standing {
	if held {
		return orphan.Held
	}
	return orphan.Unlisted
}
