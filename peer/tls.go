// Package peer is the RPC transport between entry nodes: drpc over mutual TLS.
// Other packages register their services on its server.
package peer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/settings"
)

// The errors of calls between nodes.
var (
	// ErrCertificates is returned when certificates can't be read or verified.
	ErrCertificates = eris.New("invalid peer certificates")
	// ErrUnreachable is returned when a call to a peer fails.
	ErrUnreachable = eris.New("peer unreachable")
)

// LoadTLS reads the node's certificate and the root that peers must be signed
// by. Error: ErrCertificates.
func LoadTLS(sources settings.PeerTLS) (*tls.Config, error) {
	certificate, err := loadCertificate(sources)
	if err != nil {
		return nil, eris.Wrap(ErrCertificates, err.Error())
	}
	root, err := sources.Root.Read()
	if err != nil {
		return nil, eris.Wrap(ErrCertificates, "root: "+err.Error())
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM([]byte(root)) {
		return nil, eris.Wrap(ErrCertificates, "root: no PEM certificate found")
	}
	return mutualTLSConfig(certificate, roots), nil
}

func loadCertificate(sources settings.PeerTLS) (tls.Certificate, error) {
	certificate, err := sources.Certificate.Read()
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "certificate")
	}
	key, err := sources.Key.Read()
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "key")
	}
	return tls.X509KeyPair([]byte(certificate), []byte(key))
}

// mutualTLSConfig returns a configuration that verifies both sides against the
// root. VMs are replaced under other addresses, so names are not compared.
func mutualTLSConfig(certificate tls.Certificate, roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{certificate},
		ClientAuth:         tls.RequireAndVerifyClientCert,
		ClientCAs:          roots,
		InsecureSkipVerify: true, // replaced by VerifyConnection
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, roots)
		},
	}
}

func verify(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return eris.Wrap(ErrCertificates, "peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return eris.Wrap(ErrCertificates, err.Error())
	}
	return nil
}
