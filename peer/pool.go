package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	dialTimeout        = 2 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdlePerPeer     = 2
	maxIdleConnections = 64
)

// Pool holds connections to other nodes by address. It is safe for concurrent use.
type Pool struct {
	config *tls.Config
	pool   *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	tracer trace.Tracer
}

// NewPool returns an empty pool; with a nil config it dials without TLS.
func NewPool(config *tls.Config, tracer trace.Tracer) *Pool {
	options := drpcpool.Options{Expiration: idleTimeout, Capacity: maxIdleConnections, KeyCapacity: maxIdlePerPeer}
	return &Pool{config: config, tracer: tracer, pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](options)}
}

// Conn returns a connection that is opened on its first call. Close it after use.
func (p *Pool) Conn(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return tracedConn{Conn: p.pool.Get(ctx, address, p.dial), tracer: p.tracer, address: address.String()}
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := new(net.Dialer)
	plain, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	if p.config == nil {
		return drpcconn.NewWithOptions(plain, drpcconn.Options{Manager: managerOptions()}), nil
	}
	secured := tls.Client(plain, p.config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = plain.Close()
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	return drpcconn.NewWithOptions(secured, drpcconn.Options{Manager: managerOptions()}), nil
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	return p.pool.Close()
}
