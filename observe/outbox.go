package observe

import (
	"net/netip"
	"slices"
	"time"
)

// retellInterval is how often a peer of another data centre is told again what
// it acknowledged, as its tables may have changed meanwhile.
const retellInterval = time.Minute

// LocalInterval is how often a peer of the engine's data centre is told its
// load. A change of state is told at once.
const LocalInterval = 2 * time.Second

// intervalSlack lets a round that comes a little early count.
const intervalSlack = 100 * time.Millisecond

// Peer is another live entry node.
type Peer struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort
	// Started tells the processes of one name apart: what the last one
	// acknowledged, the next one doesn't know.
	Started uint64
}

// process is one process of a peer.
type process struct {
	name    string
	started uint64
}

func (p Peer) process() process {
	return process{name: p.Name, started: p.Started}
}

// state is the part of a report that nodes of other data centres need too.
type state struct {
	incarnation int64
	leaving     bool
	ordered     bool
	models      string
}

func stateOf(load Load) state {
	models := slices.Clone(load.Models)
	slices.Sort(models)
	joined := ""
	for _, name := range models {
		joined += name + "\n"
	}
	return state{incarnation: load.Incarnation, leaving: load.Leaving, ordered: load.Models != nil, models: joined}
}

// acknowledgment is what a peer took in and when.
type acknowledgment struct {
	state state
	at    time.Time
}

// outbox decides what each peer is told. Nodes of the engine's data centre get
// the load each LocalInterval; the others only what changed since they last acknowledged. It
// is not safe for concurrent use.
type outbox struct {
	acknowledged map[process]map[string]acknowledgment
}

// letter is what one peer is told in one round.
type letter struct {
	peer         Peer
	observations []Observation
	// asked are the streams of the peer that engines list.
	asked []string
}

// letters returns what to tell now; dataCentres is each engine's by address.
func (o *outbox) letters(now time.Time, peers []Peer, observations []Observation, dataCentres map[string]string) []letter {
	o.forget(peers, dataCentres)
	var letters []letter
	for _, peer := range peers {
		next := letter{peer: peer}
		for _, one := range observations {
			local := dataCentres[one.Address] == peer.DataCentre
			known := o.acknowledged[peer.process()][one.Address]
			interval := retellInterval
			if local {
				interval = LocalInterval - intervalSlack
			}
			if now.Sub(known.at) >= interval || known.state != stateOf(one.Load) {
				next.observations = append(next.observations, one)
			}
		}
		if len(next.observations) > 0 {
			letters = append(letters, next)
		}
	}
	return letters
}

// acknowledge notes that the peer has taken a letter in.
func (o *outbox) acknowledge(now time.Time, sent letter) {
	known := o.acknowledged[sent.peer.process()]
	if known == nil {
		known = map[string]acknowledgment{}
		o.acknowledged[sent.peer.process()] = known
	}
	for _, one := range sent.observations {
		known[one.Address] = acknowledgment{state: stateOf(one.Load), at: now}
	}
}

// forget drops peers that are gone and engines that this node doesn't poll, as
// another poller may tell them something else meanwhile.
func (o *outbox) forget(peers []Peer, dataCentres map[string]string) {
	next := map[process]map[string]acknowledgment{}
	for _, peer := range peers {
		kept := map[string]acknowledgment{}
		for address, known := range o.acknowledged[peer.process()] {
			if _, polled := dataCentres[address]; polled {
				kept[address] = known
			}
		}
		next[peer.process()] = kept
	}
	o.acknowledged = next
}
