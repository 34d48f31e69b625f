package loadshare

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/quarantine"
)

const (
	// directoryInterval is how often the directory is read. New nodes announce themselves.
	directoryInterval = time.Minute
	// announceAgainDelay is the delay of this node's second announcement after the start, as
	// the first may be lost.
	announceAgainDelay = 3 * time.Second
	// directoryRetryDelay is the delay after a failed request to the directory; it doubles up
	// to maxDirectoryRetryDelay.
	directoryRetryDelay    = 500 * time.Millisecond
	maxDirectoryRetryDelay = 4 * time.Second
	// directoryTimeout bounds the requests of one synchronization with the directory.
	directoryTimeout = time.Second
)

// Node is an entry of the directory.
type Node struct {
	Name string
	// Address is where the node receives datagrams.
	Address netip.AddrPort
	Zone    string
	// Capacity is the machine's processor share, in cores.
	Capacity float64
	// Revision changes each time the node's entry is written; it is set by ReadDirectory only.
	Revision int64
}

// Directory holds the list of the fleet's nodes, and what must outlive them.
type Directory interface {
	// Register writes a node's entry, also an equal one again.
	Register(ctx context.Context, node Node) error
	ReadDirectory(ctx context.Context) (Entries, error)
	// RemoveNodes removes entries, all or none, if none was written since it was read.
	RemoveNodes(ctx context.Context, nodes []Node) error
}

// Entries is the content of the directory.
type Entries struct {
	Nodes []Node
	// At is the time of the reading on the directory's clock, and Era the number of times that
	// the directory was restored from a backup.
	At  time.Duration
	Era int64
	// Evidence is that of the parts of prompts that are blocked; its times are relative to the
	// time of the reading.
	Evidence quarantine.Evidence
}

// Register makes this node write its entry of the directory again, which the directory may
// have lost.
func (a *Agent) Register() {
	select {
	case a.registerAgain <- struct{}{}:
	default:
	}
}

// runDirectory registers this node and reads the directory at each directoryInterval.
func (a *Agent) runDirectory(ctx context.Context) {
	registered, retry := false, directoryRetryDelay
	// Nodes that start together renew their entries at different times.
	renewAt := time.Now().Add(renewInterval/2 + randomDuration(renewInterval))
	again := time.AfterFunc(announceAgainDelay, a.announceToAll)
	defer again.Stop()
	for ctx.Err() == nil {
		if time.Now().After(renewAt) {
			registered = false
			renewAt = time.Now().Add(renewInterval/2 + randomDuration(renewInterval))
		}
		pause := directoryInterval
		if err := a.syncDirectory(ctx, &registered); err != nil {
			a.logger.Warn().Err(err).Msg("list of nodes not reached")
			pause, retry = retry, min(2*retry, maxDirectoryRetryDelay)
		} else {
			retry = directoryRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-a.registerAgain:
			registered = false
		}
	}
}

func randomDuration(below time.Duration) time.Duration { return rand.N(below) }

func (a *Agent) syncDirectory(ctx context.Context, registered *bool) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	first := a.ages.since == nil
	if !*registered {
		if err := a.directory.Register(ctx, a.self); err != nil {
			return err
		}
		*registered = true
	}
	entries, err := a.directory.ReadDirectory(ctx)
	if err != nil {
		return err
	}
	a.ages.observe(&entries)
	if _, ok := a.ages.since[a.self.Name]; !ok {
		// Another node removed the entry; the next reading writes it again.
		*registered = false
	}
	a.addNodes(entries.Nodes)
	if a.Evidence != nil && !entries.Evidence.Empty() {
		entries.Evidence.Shift(a.clock())
		a.Evidence.Apply(&entries.Evidence, false)
	}
	a.updateNodeCount()
	if first {
		a.announceToAll()
	} else {
		a.announce()
	}
	a.removeOutdated(ctx, entries.Nodes)
	return nil
}

// removeOutdated removes the entries of nodes that are gone, if this node is a publisher, so that
// few nodes do it.
func (a *Agent) removeOutdated(ctx context.Context, nodes []Node) {
	if !a.IsPublisher() {
		return
	}
	a.mutex.Lock()
	now := time.Now()
	live := map[string]bool{a.self.Zone: len(a.candidates) > 0 && !a.isolated(now)}
	for _, p := range a.peers {
		if p.heardWithin(now, 2*directoryInterval) {
			live[p.node.Zone] = true
		}
	}
	outdated := a.ages.outdated(nodes, func(name string, within time.Duration) bool {
		if name == a.self.Name || slices.Contains(a.relay.members, nodeHash(name)) {
			return true
		}
		p := a.peers[name]
		return p != nil && p.heardWithin(now, within)
	}, func(zone string) bool { return live[zone] })
	a.mutex.Unlock()
	if len(outdated) == 0 {
		return
	}
	if err := a.directory.RemoveNodes(ctx, outdated); err != nil {
		// Another publisher may have removed some of them; the next reading tells.
		a.logger.Warn().Err(err).Int("nodes", len(outdated)).Msg("entries of nodes that are gone not removed")
		return
	}
	a.metrics.Count("wigeontiller_directory_entries_removed_total", int64(len(outdated)))
	a.logger.Info().Int("nodes", len(outdated)).Str("first", outdated[0].Name).Msg("removed entries of nodes that are gone")
}

// announce tells the known nodes of this one; of those out of contact a bounded number.
func (a *Agent) announce() {
	a.mutex.Lock()
	targets := a.targetsWith(time.Now(), maxAnnounced)
	a.mutex.Unlock()
	a.send(&message{Announced: &a.self, Relayed: a.isRelayed()}, targets)
}

// announceToAll tells all known nodes of this one.
func (a *Agent) announceToAll() {
	a.mutex.Lock()
	targets := a.targetsWith(time.Now(), len(a.peers)+len(a.unheard))
	a.mutex.Unlock()
	a.send(&message{Announced: &a.self, Relayed: a.isRelayed()}, targets)
}

// addNodes merges the directory's entries, and forgets nodes that are neither among them nor heard.
func (a *Agent) addNodes(nodes []Node) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	a.directoryRead = true
	listed := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		if node.Name == a.self.Name {
			continue
		}
		listed[node.Name] = true
		if p := a.peers[node.Name]; p != nil {
			p.node.Zone, p.node.Capacity = node.Zone, node.Capacity
			continue
		}
		known, ok := a.unheard[node.Name]
		if !ok {
			known.discoveredAt, a.discoveredAt = now, now
		}
		known.node = node
		a.unheard[node.Name] = known
	}
	for name, p := range a.peers {
		if !listed[name] && !p.heardWithin(now, rankedFor) {
			delete(a.peers, name)
		}
	}
	maps.DeleteFunc(a.unheard, func(name string, _ unheardNode) bool { return !listed[name] })
	a.rank()
}
