package peer

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/peer/peerpb"
)

// ErrNotHeld is returned when a peer has no newer site, or not the document.
var ErrNotHeld = eris.New("peer has no newer site or not the document")

// ConfigurationSource provides the site and documents that a node serves to peers.
type ConfigurationSource interface {
	// Site returns the site in force, or false when there is none.
	Site() (configuration.Site, bool)
	// Document returns the bytes of a document in force, or false.
	Document(digest string) ([]byte, bool)
}

// ConfigurationService serves a node's site and documents to its peers.
type ConfigurationService struct {
	source  ConfigurationSource
	encoder *zstd.Encoder
}

// NewConfigurationService returns a service that serves from the source.
func NewConfigurationService(source ConfigurationSource) (*ConfigurationService, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, eris.Wrap(err, "compressor")
	}
	return &ConfigurationService{source: source, encoder: encoder}, nil
}

// Register adds the service to a server.
func (s *ConfigurationService) Register(mux drpc.Mux) error {
	return peerpb.DRPCRegisterConfiguration(mux, s)
}

// Site returns the site in force if it is newer than the requesting node's.
func (s *ConfigurationService) Site(_ context.Context, request *peerpb.SiteRequest) (*peerpb.SiteReply, error) {
	site, ok := s.source.Site()
	reply := &peerpb.SiteReply{Version: site.Version, Known: ok}
	if !ok || site.Version < request.Have || site.Version == request.Have && site.Version != 0 {
		return reply, nil
	}
	data, err := json.Marshal(site)
	if err != nil {
		return nil, eris.Wrap(err, "encode site")
	}
	reply.Site = s.encoder.EncodeAll(data, nil)
	return reply, nil
}

// Document returns a document in force.
func (s *ConfigurationService) Document(_ context.Context, request *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	data, ok := s.source.Document(request.Digest)
	if !ok {
		return &peerpb.DocumentReply{}, nil
	}
	return &peerpb.DocumentReply{Found: true, Document: s.encoder.EncodeAll(data, nil)}, nil
}

// ConfigurationClient fetches sites and documents from other nodes.
type ConfigurationClient struct {
	pool    *Pool
	decoder *zstd.Decoder
}

// NewConfigurationClient returns a client that uses the pool's connections.
func NewConfigurationClient(pool *Pool) (*ConfigurationClient, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxMessageBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, eris.Wrap(err, "decompressor")
	}
	return &ConfigurationClient{pool: pool, decoder: decoder}, nil
}

// Site returns the peer's site. Errors: ErrNotHeld when it is no newer than version
// have, ErrUnreachable.
func (c *ConfigurationClient) Site(ctx context.Context, from netip.AddrPort, have uint64) (configuration.Site, error) {
	conn := c.pool.Conn(ctx, from)
	defer func() { _ = conn.Close() }()
	reply, err := peerpb.NewDRPCConfigurationClient(conn).Site(ctx, &peerpb.SiteRequest{Have: have})
	if err != nil {
		return configuration.Site{}, eris.Wrap(ErrUnreachable, err.Error())
	}
	if !reply.Known || len(reply.Site) == 0 {
		return configuration.Site{}, ErrNotHeld
	}
	data, err := c.decoder.DecodeAll(reply.Site, nil)
	if err != nil {
		return configuration.Site{}, eris.Wrap(ErrUnreachable, err.Error())
	}
	site := configuration.NewSite()
	if err := json.Unmarshal(data, &site); err != nil {
		return configuration.Site{}, eris.Wrap(ErrUnreachable, err.Error())
	}
	return site, nil
}

// Version returns the site version in force at a peer; 0 means none. Error:
// ErrUnreachable.
func (c *ConfigurationClient) Version(ctx context.Context, from netip.AddrPort) (uint64, error) {
	conn := c.pool.Conn(ctx, from)
	defer func() { _ = conn.Close() }()
	reply, err := peerpb.NewDRPCConfigurationClient(conn).Site(ctx, &peerpb.SiteRequest{Have: ^uint64(0)})
	if err != nil {
		return 0, eris.Wrap(ErrUnreachable, err.Error())
	}
	return reply.Version, nil
}

// Document returns a document that the peer holds, checked against its digest.
// Errors: ErrNotHeld, ErrUnreachable.
func (c *ConfigurationClient) Document(ctx context.Context, from netip.AddrPort, digest string) ([]byte, error) {
	conn := c.pool.Conn(ctx, from)
	defer func() { _ = conn.Close() }()
	reply, err := peerpb.NewDRPCConfigurationClient(conn).Document(ctx, &peerpb.DocumentRequest{Digest: digest})
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	if !reply.Found {
		return nil, ErrNotHeld
	}
	data, err := c.decoder.DecodeAll(reply.Document, nil)
	if err != nil || environment.Digest(data) != digest {
		return nil, eris.Wrap(ErrNotHeld, "document from peer does not match its digest")
	}
	return data, nil
}
