package cli

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

const (
	defaultNodeIP           = "127.0.0.1"
	rootCertificateLifetime = 10 * 365 * 24 * time.Hour
	nodeCertificateLifetime = 2 * 365 * 24 * time.Hour
	clockSkewAllowance      = time.Hour
	serialBits              = 127
	peerKeyBytes            = 32
	keyFileMode             = 0o600
	keyDirMode              = 0o700
	peerKeyFileName         = "peer.key"
	// The private key signs orders; engines verify them with the public key.
	ordersKeyFileName       = "orders.key"
	ordersPublicKeyFileName = "orders.pub"
)

// keysReport is the result of the keys command.
type keysReport struct {
	Directory string   `json:"directory"`
	Files     []string `json:"files"`
}

func addKeys(parser *flaggy.Parser) []*command {
	group := newSubcommand("keys", "Make the keys and certificates of the entry nodes.")
	parser.AttachSubcommand(group, 1)
	sub := newSubcommand("new", "Make a root, a certificate for each node, a peer key and a key for orders.")
	directory, nodes := "", []string(nil)
	sub.AddPositionalValue(&directory, "directory", 1, true, "A directory without keys.")
	sub.StringSlice(&nodes, "", "node", "A node as NAME or NAME=IP; repeat it for each node.")
	group.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: func(env *environment) error {
		return newKeys(env, directory, nodes)
	}}}
}

func newKeys(env *environment, directory string, nodes []string) error {
	if len(nodes) == 0 {
		return eris.Wrap(ErrUsage, "--node is required")
	}
	if err := os.MkdirAll(directory, keyDirMode); err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	writer := &keyWriter{directory: directory}
	root, err := writer.writeRoot()
	if err != nil {
		return err
	}
	for _, node := range nodes {
		if err := writer.writeNode(root, node); err != nil {
			return err
		}
	}
	secret := make([]byte, peerKeyBytes)
	if _, err := rand.Read(secret); err != nil {
		return eris.Wrap(err, "random source")
	}
	if err := writer.write(peerKeyFileName, []byte(hex.EncodeToString(secret)+"\n")); err != nil {
		return err
	}
	if err := writer.writeOrdersKeys(); err != nil {
		return err
	}
	report := keysReport{Directory: directory, Files: writer.files}
	return env.print(report, strings.Join(writer.files, "\n")+"\n")
}

// writeOrdersKeys creates the key pair for signing orders to engines.
func (w *keyWriter) writeOrdersKeys() error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate key")
	}
	privateDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return eris.Wrap(err, "encode key")
	}
	publicDER, err := x509.MarshalPKIXPublicKey(public)
	if err != nil {
		return eris.Wrap(err, "encode key")
	}
	if err := w.write(ordersKeyFileName, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: privateDER})); err != nil {
		return err
	}
	return w.write(ordersPublicKeyFileName, pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: publicDER}))
}

// authority is a certificate authority that signs the nodes' certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// keyWriter writes new files into a directory; it never overwrites an existing file.
type keyWriter struct {
	directory string
	files     []string
}

func (w *keyWriter) writeRoot() (*authority, error) {
	template, err := certificateTemplate("wigeontiller root", rootCertificateLifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key")
	}
	root := &authority{certificate: template, key: key}
	return root, w.writeCertificate("root", template, key, root)
}

func (w *keyWriter) writeNode(root *authority, node string) error {
	name, text, found := strings.Cut(node, "=")
	if !found {
		text = defaultNodeIP
	}
	address := net.ParseIP(text)
	if name == "" || name != filepath.Base(name) || address == nil {
		return eris.Wrap(ErrUsage, "--node must be NAME or NAME=IP")
	}
	template, err := certificateTemplate(name, nodeCertificateLifetime)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = []net.IP{address}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate key")
	}
	return w.writeCertificate(name, template, key, root)
}

func certificateTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "random source")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockSkewAllowance),
		NotAfter:     time.Now().Add(lifetime),
	}, nil
}

func (w *keyWriter) writeCertificate(name string, template *x509.Certificate, key *ecdsa.PrivateKey, root *authority) error {
	certificate, err := x509.CreateCertificate(rand.Reader, template, root.certificate, &key.PublicKey, root.key)
	if err != nil {
		return eris.Wrap(err, "sign certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "encode key")
	}
	if err := w.write(name+".key", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})); err != nil {
		return err
	}
	return w.write(name+".crt", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}))
}

func (w *keyWriter) write(name string, data []byte) error {
	path := filepath.Join(w.directory, name)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return eris.Wrap(err, path)
	}
	w.files = append(w.files, path)
	return eris.Wrap(file.Close(), path)
}
