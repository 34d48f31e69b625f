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

// counted counts the bytes in both directions.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	return c.Conn.Write(data)
}

func (c counted) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// TestLendingFitsTheBudget uses the brief's largest data centre, whose writer
// hears all other nodes.
func TestLendingFitsTheBudget(t *testing.T) {
	is := is.New(t)
	const (
		nodes     = 46
		allowance = 20_000
		part      = 2
		// framing bounds what TLS records and TCP with IP add, in bytes.
		framing = 300
	)
	var bytes atomic.Int64
	near, far := net.Pipe()
	mux := drpcmux.New()
	is.NoErr(New(Config{}).Register(mux))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = drpcserver.New(mux).ServeOne(ctx, far) }()
	conn := drpcconn.New(counted{Conn: near, bytes: &bytes})
	defer func() { _ = conn.Close() }()
	_, err := NewDRPCWriterClient(conn).Write(ctx, &WriteRequest{Tokens: tokens{1.4, 4.2}.message()})
	is.NoErr(err)
	bucket := grouped.NewBucket(time.Now(), grouped.WritesPerSecond)
	perSecond := (nodes - 1) * float64(bytes.Load()+framing) / bucket.LendInterval().Seconds()
	t.Logf("%d bytes an exchange, %.0f bytes/s at the writer with framing, %.0f at another node",
		bytes.Load(), perSecond, perSecond/(nodes-1))
	is.True(perSecond <= allowance/part)
}

// BenchmarkLend is the writer's and the lender's time for one exchange.
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
