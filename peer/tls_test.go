package peer

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/settings"
)

// setPEM stores a PEM block in an environment variable and returns a reference to
// it.
func setPEM(t *testing.T, variable, kind string, der []byte) settings.Secret {
	t.Helper()
	t.Setenv(variable, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})))
	return settings.Secret{Environment: variable}
}

func TestLoadTLSFromEnvironmentVariables(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(nil)
	defer server.Close()
	key, err := x509.MarshalPKCS8PrivateKey(server.TLS.Certificates[0].PrivateKey)
	is.NoErr(err)
	der := server.Certificate().Raw
	sources := settings.PeerTLS{
		Certificate: setPEM(t, "WIGEONTILLER_TEST_CERTIFICATE", "CERTIFICATE", der),
		Key:         setPEM(t, "WIGEONTILLER_TEST_KEY", "PRIVATE KEY", key),
		Root:        setPEM(t, "WIGEONTILLER_TEST_ROOT", "CERTIFICATE", der),
	}
	config, err := LoadTLS(sources)
	is.NoErr(err)
	is.Equal(config.Certificates[0].Certificate[0], der)
	sources.Key = sources.Root // not a key
	_, err = LoadTLS(sources)
	is.True(errors.Is(err, ErrCertificates))
}
