package loadshare

import (
	"context"
	"net/netip"
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
}

// Directory holds the list of the fleet's nodes, and what must outlive them.
type Directory interface {
	Register(ctx context.Context, node Node) error
	ReadDirectory(ctx context.Context) (Entries, error)
}

// Entries is the content of the directory.
type Entries struct {
	Nodes []Node
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
	again := time.AfterFunc(announceAgainDelay, a.announce)
	defer again.Stop()
	for ctx.Err() == nil {
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

func (a *Agent) syncDirectory(ctx context.Context, registered *bool) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
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
	a.addNodes(entries.Nodes)
	if a.Evidence != nil && !entries.Evidence.Empty() {
		entries.Evidence.Shift(a.clock())
		a.Evidence.Apply(&entries.Evidence, false)
	}
	a.updateNodeCount()
	a.announce()
	return nil
}

// announce tells all known nodes of this one.
func (a *Agent) announce() {
	a.mutex.Lock()
	targets := a.allTargets()
	a.mutex.Unlock()
	a.send(&message{Announced: &a.self, Relayed: a.isRelayed()}, targets)
}

// addNodes merges the directory's entries.
func (a *Agent) addNodes(nodes []Node) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, node := range nodes {
		if node.Name == a.self.Name {
			continue
		}
		p := a.peers[node.Name]
		if p == nil {
			p = &peer{node: node, discoveredAt: time.Now()}
			a.peers[node.Name] = p
		}
		p.node.Zone, p.node.Capacity = node.Zone, node.Capacity
		if p.receivedAt.IsZero() {
			p.node.Address = node.Address
		}
	}
	a.rank()
}
