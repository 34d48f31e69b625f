package writerpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	return c.Conn.Write(data)
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// TestLendingStaysWithinTrafficBudget checks the traffic in the largest data centre,
// where the writer receives tokens from all other nodes.
func TestLendingStaysWithinTrafficBudget(t *testing.T) {
	is := is.New(t)
	const (
		nodes                 = 46
		allowedBytesPerSecond = 20_000
		lendingDivisor        = 2
		// framingBytes bounds the overhead of TLS records and TCP/IP per exchange, in bytes.
		framingBytes = 300
	)
	var bytes atomic.Int64
	near, far := net.Pipe()
	mux := drpcmux.New()
	is.NoErr(New(Config{}).Register(mux))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = drpcserver.New(mux).ServeOne(ctx, far) }()
	conn := drpcconn.New(countingConn{Conn: near, bytes: &bytes})
	defer func() { _ = conn.Close() }()
	_, err := NewDRPCWriterClient(conn).Write(ctx, &WriteRequest{Tokens: tokens{1.4, 4.2}.message()})
	is.NoErr(err)
	bucket := grouped.NewBucket(time.Now(), grouped.WritesPerSecond)
	perSecond := (nodes - 1) * float64(bytes.Load()+framingBytes) / bucket.LendInterval().Seconds()
	t.Logf("%d bytes per exchange, %.0f bytes/s at the writer with framing, %.0f at another node",
		bytes.Load(), perSecond, perSecond/(nodes-1))
	is.True(perSecond <= allowedBytesPerSecond/lendingDivisor)
}

// BenchmarkLend measures the time of the writer and the lender for one exchange.
func BenchmarkLend(b *testing.B) {
	near, far := net.Pipe()
	mux := drpcmux.New()
	_ = New(Config{}).Register(mux)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = drpcserver.New(mux).ServeOne(ctx, far) }()
	client := NewDRPCWriterClient(drpcconn.New(near))
	for b.Loop() {
		_, _ = client.Write(ctx, &WriteRequest{Tokens: tokens{1.4, 4.2}.message()})
	}
}
