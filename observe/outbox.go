package observe

import (
	"net/netip"
	"slices"
	"time"
)

// resendInterval is how often a peer in another data centre is sent again what it
// acknowledged, since its tables may have changed in between.
const resendInterval = time.Minute

// LocalInterval is how often an engine's load is published to peers in the
// engine's data centre. A change of state is published in the next round.
const LocalInterval = 2 * time.Second

// intervalSlack lets a round that starts slightly early count as on time.
const intervalSlack = 100 * time.Millisecond

// Peer is another live entry node.
type Peer struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort
	// Started distinguishes the processes of one node name: a restarted process
	// does not know what the previous one acknowledged.
	Started uint64
}

// processID identifies one process of a peer.
type processID struct {
	name    string
	started uint64
}

func (p Peer) processID() processID {
	return processID{name: p.Name, started: p.Started}
}

// publishedState is the part of a report that nodes in other data centres need too.
type publishedState struct {
	incarnation int64
	draining    bool
	takesOrders bool
	models      string
}

func publishedStateOf(load Load) publishedState {
	models := slices.Clone(load.Models)
	slices.Sort(models)
	joined := ""
	for _, name := range models {
		joined += name + "\n"
	}
	return publishedState{incarnation: load.Incarnation, draining: load.Draining, takesOrders: load.Models != nil, models: joined}
}

// acknowledgment is the state that a peer acknowledged and when.
type acknowledgment struct {
	state publishedState
	at    time.Time
}

// outbox decides which reports are sent to each peer. Nodes in the engine's data
// centre get the load every LocalInterval; the others get only changes of state
// since their last acknowledgment. It is not safe for concurrent use.
type outbox struct {
	acknowledged map[processID]map[string]acknowledgment
}

// message holds the reports that one peer is sent in one round.
type message struct {
	peer         Peer
	observations []Observation
	// queriedStreams are the IDs of streams that engines list as owned by the peer.
	queriedStreams []string
}

// messages returns the messages due now. dataCentres maps each polled engine's
// address to its data centre.
func (o *outbox) messages(now time.Time, peers []Peer, observations []Observation, dataCentres map[string]string) []message {
	o.prune(peers, dataCentres)
	var messages []message
	for _, peer := range peers {
		next := message{peer: peer}
		for _, one := range observations {
			local := dataCentres[one.Address] == peer.DataCentre
			last := o.acknowledged[peer.processID()][one.Address]
			interval := resendInterval
			if local {
				interval = LocalInterval - intervalSlack
			}
			if now.Sub(last.at) >= interval || last.state != publishedStateOf(one.Load) {
				next.observations = append(next.observations, one)
			}
		}
		if len(next.observations) > 0 {
			messages = append(messages, next)
		}
	}
	return messages
}

// acknowledge records that the peer has accepted a message.
func (o *outbox) acknowledge(now time.Time, sent message) {
	byAddress := o.acknowledged[sent.peer.processID()]
	if byAddress == nil {
		byAddress = map[string]acknowledgment{}
		o.acknowledged[sent.peer.processID()] = byAddress
	}
	for _, one := range sent.observations {
		byAddress[one.Address] = acknowledgment{state: publishedStateOf(one.Load), at: now}
	}
}

// prune drops peers that are gone and engines that this node doesn't poll, since
// another poller may publish newer reports of those in between.
func (o *outbox) prune(peers []Peer, dataCentres map[string]string) {
	next := map[processID]map[string]acknowledgment{}
	for _, peer := range peers {
		remaining := map[string]acknowledgment{}
		for address, last := range o.acknowledged[peer.processID()] {
			if _, polled := dataCentres[address]; polled {
				remaining[address] = last
			}
		}
		next[peer.processID()] = remaining
	}
	o.acknowledged = next
}
