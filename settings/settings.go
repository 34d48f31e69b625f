// Package settings holds the static YAML settings of one entry node.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/strictyaml"
)

// Settings holds the settings of a node; they are read once, when the process starts.
type Settings struct {
	// Name is the VM's name; it must be unique among the entry VMs.
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
	// CallerAddress is the IP address and port for callers.
	CallerAddress string `yaml:"caller_address"`
	// OperatorAddress is the IP address and port for operators.
	OperatorAddress string `yaml:"operator_address"`
	// PeerAddress is the IP address and port for the other entry nodes.
	PeerAddress string `yaml:"peer_address"`
	// Seeds lists peer addresses to join when the platform's VM list is unavailable.
	Seeds []string `yaml:"seeds"`
	// PlatformURL is the base URL of the platform's HTTP service.
	PlatformURL string `yaml:"platform_url"`
	// OperatorTokens names the environment variables or files that hold the tokens.
	OperatorTokens []Secret `yaml:"operator_tokens"`
	// PeerKey is the shared key for messages between nodes.
	PeerKey Secret `yaml:"peer_key"`
	// OrdersKey is the private key, as PEM, that signs orders to engines. It is needed
	// only where a document sets `checks_orders`.
	OrdersKey Secret `yaml:"orders_key"`
	// PeerTLS holds the mutual certificates for calls between nodes.
	PeerTLS PeerTLS `yaml:"peer_tls"`
	// InProcessDemo allows nodes of one process to communicate without certificates. It
	// can't be set in a settings file.
	InProcessDemo bool `yaml:"-"`
	// EntryNodes is the most entry nodes that can run at once, by region and data
	// centre. It bounds a node's share of the store's rate limit when the platform's
	// VM list can't be read. Default none.
	EntryNodes map[string]map[string]int `yaml:"entry_nodes"`
	// LogLevel is a zerolog level. Default info.
	LogLevel string `yaml:"log_level"`
	// SharedLimits makes the node share the upstreams' limits and the organisations'
	// rates with the other nodes. It must be the same at all nodes. Without it each
	// node applies its own limits.
	SharedLimits bool `yaml:"shared_limits"`
	// OTLPEndpoint is the URL that traces are sent to; empty turns tracing off.
	OTLPEndpoint string `yaml:"otlp_endpoint"`
	// ShutdownLag is how long a draining node still accepts requests, so that the load
	// balancer can notice. Default 5s.
	ShutdownLag time.Duration `yaml:"shutdown_lag"`
}

// PeerTLS names the sources of a node's certificate, its key and the trusted root,
// each as PEM.
type PeerTLS struct {
	Certificate Secret `yaml:"certificate"`
	Key         Secret `yaml:"key"`
	Root        Secret `yaml:"root"`
}

// Secret names the source of a secret; exactly one field is set.
type Secret struct {
	Environment string `yaml:"environment"`
	File        string `yaml:"file"`
	// Literal is the value itself, for programs that embed a node. It can't be set in
	// a settings file.
	Literal string `yaml:"-"`
}

const defaultShutdownLag = 5 * time.Second

// ErrSecretMissing is returned when a secret's source is unset or empty.
var ErrSecretMissing = eris.New("secret is missing")

// Read returns the secret's value. Trailing line ends are removed from a value of
// an environment variable or a file. Error: ErrSecretMissing.
func (s Secret) Read() (string, error) {
	if s.Literal != "" {
		return s.Literal, nil
	}
	if s.Environment != "" {
		return trimLineEnds(os.Getenv(s.Environment))
	}
	data, err := os.ReadFile(s.File)
	if err != nil {
		return "", eris.Wrap(ErrSecretMissing, err.Error())
	}
	return trimLineEnds(string(data))
}

func trimLineEnds(value string) (string, error) {
	for len(value) > 0 && (value[len(value)-1] == '\n' || value[len(value)-1] == '\r') {
		value = value[:len(value)-1]
	}
	if value == "" {
		return "", ErrSecretMissing
	}
	return value, nil
}

// Parse decodes and validates settings. The error is of type strictyaml.Errors.
func Parse(data []byte) (*Settings, error) {
	settings := new(Settings)
	source, err := strictyaml.Decode(data, settings)
	if err != nil {
		return nil, err
	}
	settings.Provision()
	if problems := settings.check(source); len(problems) > 0 {
		return nil, problems
	}
	return settings, nil
}

// Provision sets the defaults.
func (s *Settings) Provision() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.ShutdownLag == 0 {
		s.ShutdownLag = defaultShutdownLag
	}
}

func (s *Settings) check(source *strictyaml.Source) strictyaml.Errors {
	var problems strictyaml.Errors
	add := func(field, message string) {
		problems = append(problems, strictyaml.FieldError{Field: field, Line: source.Line(field), Message: message})
	}
	required := map[string]string{"name": s.Name, "data_centre": s.DataCentre, "region": s.Region, "platform_url": s.PlatformURL}
	for _, field := range []string{"name", "data_centre", "region", "platform_url"} {
		if required[field] == "" {
			add(field, "is required")
		}
	}
	addresses := []struct{ field, value string }{
		{"caller_address", s.CallerAddress},
		{"operator_address", s.OperatorAddress},
		{"peer_address", s.PeerAddress},
	}
	for i, seed := range s.Seeds {
		addresses = append(addresses, struct{ field, value string }{fmt.Sprintf("seeds[%d]", i), seed})
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			add(address.field, "must be an IP address and port")
		}
	}
	if s.EntryNodes != nil && s.EntryNodes[s.Region][s.DataCentre] < 1 {
		add("entry_nodes", "must hold the node's own region and data centre, at least 1")
	}
	if len(s.OperatorTokens) == 0 {
		add("operator_tokens", "must name a token")
	}
	s.checkSecrets(add)
	return problems
}

func (s *Settings) checkSecrets(add func(field, message string)) {
	type namedSecret struct {
		field string
		value Secret
	}
	secrets := []namedSecret{
		{"peer_key", s.PeerKey},
		{"peer_tls.certificate", s.PeerTLS.Certificate},
		{"peer_tls.key", s.PeerTLS.Key},
		{"peer_tls.root", s.PeerTLS.Root},
	}
	for i, token := range s.OperatorTokens {
		secrets = append(secrets, namedSecret{fmt.Sprintf("operator_tokens[%d]", i), token})
	}
	if s.OrdersKey != (Secret{}) {
		secrets = append(secrets, namedSecret{"orders_key", s.OrdersKey})
	}
	for _, secret := range secrets {
		if (secret.value.Environment == "") == (secret.value.File == "") {
			add(secret.field, "must name an environment variable or a file")
		}
	}
}
