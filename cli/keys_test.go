package cli

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/admin"
)

func TestKeysNewWritesValidCertificatesAndKeepsOldFiles(t *testing.T) {
	is := is.New(t)
	directory := filepath.Join(t.TempDir(), "keys")
	out, errs := new(bytes.Buffer), new(bytes.Buffer)
	args := []string{"keys", "new", directory, "--node", "entry-a=10.0.0.7", "--node", "entry-b", "--output", "json"}
	is.Equal(Run(args, out, errs), ExitOK)
	var report keysReport
	is.NoErr(json.Unmarshal(out.Bytes(), &report))
	is.Equal(len(report.Files), 9) // two each of the root and both nodes, the peer key and the pair for orders
	for _, file := range report.Files {
		info, err := os.Stat(file)
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(0o600)) // accessible to the owner only
	}
	root, err := os.ReadFile(filepath.Join(directory, "root.crt"))
	is.NoErr(err)
	roots := x509.NewCertPool()
	is.True(roots.AppendCertsFromPEM(root))
	for name, address := range map[string]string{"entry-a": "10.0.0.7", "entry-b": "127.0.0.1"} {
		pair, err := tls.LoadX509KeyPair(filepath.Join(directory, name+".crt"), filepath.Join(directory, name+".key"))
		is.NoErr(err) // the key matches its certificate
		for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
			_, err = pair.Leaf.Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{usage}})
			is.NoErr(err)
		}
		is.NoErr(pair.Leaf.VerifyHostname(address))
		is.True(pair.Leaf.VerifyHostname("10.0.0.8") != nil) // valid for its own address only
	}
	is.Equal(Run(args, out, errs), ExitUsage) // existing keys are not overwritten
	again, err := os.ReadFile(filepath.Join(directory, "root.crt"))
	is.NoErr(err)
	is.Equal(again, root)
}

func TestStatusTextMarksLaggingPeers(t *testing.T) {
	is := is.New(t)
	text := statusText(admin.Status{Node: "entry-a", Version: 7, Peers: []admin.Peer{
		{Name: "entry-b", DataCentre: "dc-b", State: "alive", Version: 6},
		{Name: "entry-c", DataCentre: "dc-c", State: "alive", Version: 7},
	}})
	is.True(bytes.Contains([]byte(text), []byte("peer\tentry-b\tdc-b\talive\t6\tlagging\n")))
	is.True(bytes.Contains([]byte(text), []byte("peer\tentry-c\tdc-c\talive\t7\n"))) // not lagging
}
