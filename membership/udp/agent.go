// Package udp runs a membership.State over a UDP socket: it reads the clock,
// seals and opens datagrams and guards the state with one mutex.
package udp

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/wigeontiller/wigeontiller/membership"
	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// The errors of the agent.
var (
	// ErrListen is returned when the UDP socket can't be opened.
	ErrListen = eris.New("cannot listen on membership UDP address")
)

// Config configures an Agent; every field is required.
type Config struct {
	Self    membership.Member
	PeerKey string
	Metrics *telemetry.Metrics
	Logger  zerolog.Logger
	// OnSiteVersion is called for each valid datagram of another node with the sender's
	// address and site version. It must not block.
	OnSiteVersion func(from netip.AddrPort, version uint64)
}

// Agent runs the membership protocol of one node. It is safe for concurrent use.
// The mutex guards state; no other lock is taken while it is held.
type Agent struct {
	config Config
	codec  *membership.Codec
	conn   *net.UDPConn
	mutex  sync.Mutex
	state  *membership.State
}

// Listen opens the socket at the member's address. Errors: membership.ErrKey,
// ErrListen.
func Listen(config Config) (*Agent, error) {
	codec, err := membership.NewCodec(config.PeerKey)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Self.Address))
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Agent{
		config: config,
		codec:  codec,
		conn:   conn,
		state:  membership.New(config.Self, time.Now(), random),
	}, nil
}

// Run sends and receives until the context is canceled, then closes the socket.
func (a *Agent) Run(ctx context.Context) {
	var workers conc.WaitGroup
	workers.Go(a.readLoop)
	periodic.Run(ctx, membership.TickInterval, func() { a.send(a.tick()) })
	_ = a.conn.Close()
	workers.Wait()
}

func (a *Agent) tick() []membership.Packet {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.state.Tick(time.Now())
}

func (a *Agent) readLoop() {
	buffer := make([]byte, membership.MaxDatagramBytes+1)
	for {
		size, from, err := a.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		a.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:size])
	}
}

func (a *Agent) receive(from netip.AddrPort, datagram []byte) {
	a.config.Metrics.Count("wigeontiller_membership_received_bytes_total", int64(len(datagram)))
	message, err := a.codec.Open(datagram)
	if err != nil {
		a.config.Metrics.Count("wigeontiller_membership_refused_datagrams_total", 1)
		return
	}
	a.mutex.Lock()
	packets := a.state.Receive(time.Now(), from, message)
	a.mutex.Unlock()
	if message.From != a.config.Self.Name {
		a.config.OnSiteVersion(from, message.SiteVersion)
	}
	a.send(packets)
}

func (a *Agent) send(packets []membership.Packet) {
	for _, packet := range packets {
		datagram, err := a.codec.Seal(packet.Message)
		if err != nil {
			a.config.Logger.Error().Err(err).Msg("cannot seal membership datagram; not sent")
			continue
		}
		if len(datagram) > membership.MaxDatagramBytes {
			a.config.Metrics.InvariantBroken("membership_datagram_size")
			continue
		}
		a.config.Metrics.Count("wigeontiller_membership_sent_bytes_total", int64(len(datagram)))
		// The protocol tolerates lost datagrams, so a failed send is ignored.
		_, _ = a.conn.WriteToUDPAddrPort(datagram, packet.To)
	}
}

// SetSiteVersion announces the version of the configuration in force.
func (a *Agent) SetSiteVersion(version uint64) {
	a.mutex.Lock()
	packets := a.state.SetSiteVersion(version)
	a.mutex.Unlock()
	a.send(packets)
}

// SetSeeds replaces the addresses that the node joins through.
func (a *Agent) SetSeeds(seeds []netip.AddrPort) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.state.SetSeeds(seeds)
}

// Leave announces that the node leaves.
func (a *Agent) Leave() {
	a.mutex.Lock()
	packets := a.state.Leave(time.Now())
	a.mutex.Unlock()
	a.send(packets)
}

// Live returns the live members of a scope, including the node itself.
func (a *Agent) Live(scope membership.Scope) []membership.Member {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.state.Live(time.Now(), scope)
}

// Peers returns all other members.
func (a *Agent) Peers() []membership.Peer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.state.Peers(time.Now())
}

// Isolated reports whether the node has received no message from another node
// recently.
func (a *Agent) Isolated() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.state.Isolated(time.Now())
}

// LastReceived returns when the node last received a message from another node; zero
// means never.
func (a *Agent) LastReceived() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.state.LastReceived()
}

// HasOtherMembers reports whether the view holds another member that has not announced
// that it left.
func (a *Agent) HasOtherMembers() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.state.HasOtherMembers()
}

// Owns reports whether this node owns a role among the live members of a scope.
func (a *Agent) Owns(role string, scope membership.Scope) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.state.Owns(time.Now(), role, scope)
}
