// Package edge is one node of a fleet on the users' platform: it follows the
// platform's store, takes callers' requests, and shares what it knows of the
// upstreams with the other nodes.
package edge

import (
	"errors"
	"net/netip"
	"reflect"
	"sort"
	"time"

	"github.com/wigeontiller/wigeontiller/strictyaml"
)

// Settings are read once at the start of a process.
type Settings struct {
	// Name is the node's name; it is unique in the fleet.
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Regions gives the region of each zone.
	Regions map[string]string `yaml:"regions"`
	// CallerAddress is the IP address and port for callers.
	CallerAddress string `yaml:"caller_address"`
	// MetricsAddress is the IP address and port for metrics, at /metrics; empty is none.
	MetricsAddress string `yaml:"metrics_address"`
	// ReadyAddress is the IP address and port for the balancer's check.
	ReadyAddress string `yaml:"ready_address"`
	// PeerIP and PeerPorts are the address and the range of ports for other nodes.
	PeerIP    string   `yaml:"peer_ip"`
	PeerPorts []uint16 `yaml:"peer_ports"`
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string `yaml:"store_address"`
	// GraceSeconds is the time from the signal to stop to the kill.
	GraceSeconds float64 `yaml:"grace_seconds"`
	// RevokeMs is the time after which a key that was taken away must have stopped.
	RevokeMs float64 `yaml:"revoke_ms"`
	// ApplyMs is the time in which a new document must be in force.
	ApplyMs float64 `yaml:"apply_ms"`
	// RetryRatio, RetryWindowSeconds and RetryExtra bound the repeats of all nodes.
	RetryRatio         float64 `yaml:"retry_ratio"`
	RetryWindowSeconds float64 `yaml:"retry_window_seconds"`
	RetryExtra         float64 `yaml:"retry_extra"`
	// WarmOvershoot is how far over an upstream's rate a cold one may be sent.
	WarmOvershoot float64 `yaml:"warm_overshoot"`
	// LogLevel is a zerolog level. Default info.
	LogLevel string `yaml:"log_level"`
}

// ParseSettings decodes and checks settings. The error is of type
// strictyaml.Errors and holds every problem.
func ParseSettings(data []byte) (*Settings, error) {
	settings := &Settings{LogLevel: "info"}
	source, err := strictyaml.Decode(data, settings)
	if err != nil {
		return nil, err
	}
	var problems strictyaml.Errors
	report := func(field, message string) {
		problems = append(problems, strictyaml.FieldError{Field: field, Line: source.Line(field), Message: message})
	}
	settings.check(report)
	sort.Slice(problems, func(i, j int) bool {
		if problems[i].Line != problems[j].Line {
			return problems[i].Line < problems[j].Line
		}
		return problems[i].Field < problems[j].Field
	})
	if len(problems) > 0 {
		return nil, problems
	}
	return settings, nil
}

func (s *Settings) check(report func(field, message string)) {
	if s.Name == "" {
		report("name", "is missing")
	}
	if s.Zone == "" {
		report("zone", "is missing")
	}
	for field, address := range map[string]string{
		"caller_address": s.CallerAddress, "ready_address": s.ReadyAddress, "store_address": s.StoreAddress,
	} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			report(field, "is not an IP address and port: "+err.Error())
		}
	}
	if s.MetricsAddress != "" {
		if _, err := netip.ParseAddrPort(s.MetricsAddress); err != nil {
			report("metrics_address", "is not an IP address and port: "+err.Error())
		}
	}
	if _, err := netip.ParseAddr(s.PeerIP); err != nil {
		report("peer_ip", "is not an IP address: "+err.Error())
	}
	if len(s.PeerPorts) == 0 || s.PeerPorts[0] == 0 {
		report("peer_ports", "needs the first port for other nodes")
	}
	for field, value := range map[string]float64{
		"grace_seconds": s.GraceSeconds, "revoke_ms": s.RevokeMs, "apply_ms": s.ApplyMs,
		"retry_window_seconds": s.RetryWindowSeconds, "warm_overshoot": s.WarmOvershoot,
	} {
		if value <= 0 {
			report(field, "must be over 0")
		}
	}
	for field, value := range map[string]float64{"retry_ratio": s.RetryRatio, "retry_extra": s.RetryExtra} {
		if value < 0 {
			report(field, "must not be negative")
		}
	}
}

// peerAddress is where other nodes' datagrams are heard.
func (s *Settings) peerAddress() (netip.AddrPort, error) {
	ip, err := netip.ParseAddr(s.PeerIP)
	if err != nil {
		return netip.AddrPort{}, errors.Join(ErrSettings, err)
	}
	return netip.AddrPortFrom(ip, s.PeerPorts[0]), nil
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Equal reports whether two settings say the same.
func (s *Settings) Equal(other *Settings) bool { return reflect.DeepEqual(s, other) }
