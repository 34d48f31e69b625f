// Package edge runs one entry node of a fleet on the users' platform: it follows the
// platform's store, serves callers' requests, and shares its view and its load on the
// upstreams with the other nodes.
package edge

import (
	"errors"
	"net/netip"
	"reflect"
	"sort"
	"time"

	"github.com/wigeontiller/wigeontiller/memorybudget"
	"github.com/wigeontiller/wigeontiller/strictyaml"
)

// Settings are the settings of a node. They are read once, at the start of the process.
type Settings struct {
	// Name is the node's name; it is unique in the fleet.
	Name string `yaml:"name"`
	// Zone is the platform's zone that the node runs in.
	Zone string `yaml:"zone"`
	// Regions gives the region of each zone.
	Regions map[string]string `yaml:"regions"`
	// CallerAddress is the IP address and port for callers.
	CallerAddress string `yaml:"caller_address"`
	// MetricsAddress is the IP address and port that serve /metrics; empty is none.
	MetricsAddress string `yaml:"metrics_address"`
	// ReadyAddress is the IP address and port for the balancer's readiness check.
	ReadyAddress string `yaml:"ready_address"`
	// PeerIP and PeerPorts are the IP address and the ports for other nodes: their datagrams, and by TCP the
	// requests that they hand over;
	// the first port is used.
	PeerIP    string   `yaml:"peer_ip"`
	PeerPorts []uint16 `yaml:"peer_ports"`
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string `yaml:"store_address"`
	// GraceSeconds is the time from the signal to stop until the process is killed.
	GraceSeconds float64 `yaml:"grace_seconds"`
	// RevokeMs is the time within which a revoked key must stop working at all nodes.
	RevokeMs float64 `yaml:"revoke_ms"`
	// ApplyMs is the time within which a new document must be in force at all nodes.
	ApplyMs float64 `yaml:"apply_ms"`
	// DrainMs is how long upstreams serve after the store has accepted that they drain. The last upstream
	// of a service is used for that time. 0 is not known: draining upstreams take no new request.
	DrainMs float64 `yaml:"drain_ms"`
	// RetryRatio, RetryWindowSeconds and RetryExtra set the retry budget of all nodes
	// together: in each window, RetryRatio of the requests plus RetryExtra.
	RetryRatio         float64 `yaml:"retry_ratio"`
	RetryWindowSeconds float64 `yaml:"retry_window_seconds"`
	RetryExtra         float64 `yaml:"retry_extra"`
	// WarmOvershoot is the factor by which requests to a cold upstream may exceed its
	// warm-up rate.
	WarmOvershoot float64 `yaml:"warm_overshoot"`
	// ProcessorShare is the machine's processor share in cores; 0 is not known. Nodes with a
	// larger one pass the load on between the others.
	ProcessorShare float64 `yaml:"processor_share"`
	// MemoryMB is the memory of the machine in MiB, which the process must not exceed, at least 64. Absent or 0: 184.
	MemoryMB int64 `yaml:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may have, at least 512. Absent or 0: 4,100.
	MaxDescriptors int `yaml:"max_descriptors"`
	// LogLevel is a zerolog level. Default info.
	LogLevel string `yaml:"log_level"`
}

// ParseSettings decodes and validates settings in YAML. The error is of type
// strictyaml.Errors and lists every problem.
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
	if s.MemoryMB != 0 && s.MemoryMB < memorybudget.MinMachineBytes>>20 {
		report("memory_mb", "must be at least 64, or absent")
	}
	if s.MaxDescriptors != 0 && s.MaxDescriptors < minDescriptors {
		report("max_descriptors", "must be at least 512, or absent")
	}
	for field, value := range map[string]float64{"retry_ratio": s.RetryRatio, "retry_extra": s.RetryExtra, "processor_share": s.ProcessorShare, "drain_ms": s.DrainMs} {
		if value < 0 {
			report(field, "must not be negative")
		}
	}
}

// peerAddress returns the address for datagrams of other nodes. Errors: ErrSettings.
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

// Equal reports whether two settings have equal values.
func (s *Settings) Equal(other *Settings) bool { return reflect.DeepEqual(s, other) }
