// Package peer carries calls between entry nodes: drpc over TLS with mutual
// certificates. Other packages register their services on the server.
package peer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/settings"
)

// The errors of calls between nodes.
var (
	// ErrCertificates is returned when the certificates can't be used.
	ErrCertificates = eris.New("peer certificates can't be used")
	// ErrUnreachable is returned when a peer did not answer.
	ErrUnreachable = eris.New("peer did not answer")
)

// LoadTLS reads the node's certificate and the root that peers must be signed
// by. Error: ErrCertificates.
func LoadTLS(places settings.PeerTLS) (*tls.Config, error) {
	certificate, err := loadCertificate(places)
	if err != nil {
		return nil, eris.Wrap(ErrCertificates, err.Error())
	}
	root, err := places.Root.Read()
	if err != nil {
		return nil, eris.Wrap(ErrCertificates, "root: "+err.Error())
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM([]byte(root)) {
		return nil, eris.Wrap(ErrCertificates, "root: no certificate")
	}
	return mutual(certificate, roots), nil
}

func loadCertificate(places settings.PeerTLS) (tls.Certificate, error) {
	certificate, err := places.Certificate.Read()
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "certificate")
	}
	key, err := places.Key.Read()
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "key")
	}
	return tls.X509KeyPair([]byte(certificate), []byte(key))
}

// mutual verifies both sides by the root. VMs are replaced under other
// addresses, so that names are not compared.
func mutual(certificate tls.Certificate, roots *x509.CertPool) *tls.Config {
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
		return eris.Wrap(ErrCertificates, "the peer showed none")
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
