package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
)

// newIdentity creates a self-signed root certificate and returns the TLS
// configuration of a node that uses it as its own certificate.
func newIdentity(t *testing.T) *tls.Config {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	parsed, err := x509.ParseCertificate(data)
	is.NoErr(err)
	roots := x509.NewCertPool()
	roots.AddCert(parsed)
	return mutualTLSConfig(tls.Certificate{Certificate: [][]byte{data}, PrivateKey: key}, roots)
}

type fixedSource struct{ document []byte }

func (h fixedSource) Site() (configuration.Site, bool) {
	site := configuration.NewSite()
	site.Version = 7
	return site, true
}

func (h fixedSource) Document(digest string) ([]byte, bool) {
	return h.document, digest == environment.Digest(h.document) || digest == "sha256:other"
}

func TestConfigurationServiceOverMutualTLS(t *testing.T) {
	is := is.New(t)
	own := newIdentity(t)
	spans := tracetest.NewInMemoryExporter()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)).Tracer("test")
	service, err := NewConfigurationService(fixedSource{document: []byte("name: works\n")})
	is.NoErr(err)
	server := NewServer(own, tracer)
	is.NoErr(server.Register(service.Register))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() { _ = server.Serve(ctx, listener) }()
	address := netip.MustParseAddrPort(listener.Addr().String())

	client, err := NewConfigurationClient(NewPool(own, tracer))
	is.NoErr(err)
	site, err := client.Site(ctx, address, 6)
	is.NoErr(err)
	is.Equal(site.Version, uint64(7))
	_, err = client.Site(ctx, address, 7)
	is.True(errors.Is(err, ErrNotHeld)) // not newer
	requireOneTrace(t, spans)
	version, err := client.Version(ctx, address)
	is.NoErr(err)
	is.Equal(version, uint64(7))
	data, err := client.Document(ctx, address, environment.Digest([]byte("name: works\n")))
	is.NoErr(err)
	is.Equal(string(data), "name: works\n")
	_, err = client.Document(ctx, address, "sha256:other")
	is.True(errors.Is(err, ErrNotHeld)) // does not match its digest

	for _, untrusted := range []*tls.Config{newIdentity(t), nil} {
		other, err := NewConfigurationClient(NewPool(untrusted, tracer))
		is.NoErr(err)
		short, stop := context.WithTimeout(ctx, 2*time.Second)
		_, err = other.Site(short, address, 0)
		stop()
		is.True(errors.Is(err, ErrUnreachable)) // certificate of another root, or no TLS
	}
}

// requireOneTrace checks that a client's span and the server's span belong to one
// trace. The server's span may end after the call has returned.
func requireOneTrace(t *testing.T, spans *tracetest.InMemoryExporter) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, server := range spans.GetSpans() {
			for _, client := range spans.GetSpans() {
				if server.Parent.SpanID() == client.SpanContext.SpanID() {
					is.New(t).Equal(server.SpanContext.TraceID(), client.SpanContext.TraceID())
					return
				}
			}
		}
	}
	t.Fatal("no server span is the child of a client span")
}
