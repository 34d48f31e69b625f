package fleet

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// One entry of another writer must neither be used nor stop the node.
func TestCheckRefusesEntriesOutOfBounds(t *testing.T) {
	valid := Upstream{ID: "i-1", Service: "llm", Address: "10.0.0.1:8080", Zone: "z", Slots: 16, StartedMs: 1_700_000_000_000, ColdFor: time.Second}
	if err := valid.Check(); err != nil {
		t.Fatal(err)
	}
	long := strings.Repeat("x", maxNameBytes+1)
	for name, change := range map[string]func(u *Upstream){
		"id empty":             func(u *Upstream) { u.ID = "" },
		"id too long":          func(u *Upstream) { u.ID = long },
		"id adds a header":     func(u *Upstream) { u.ID = "i\r\nX-Tenant: other" },
		"id with NUL":          func(u *Upstream) { u.ID = "i\x00" },
		"id with C1 control":   func(u *Upstream) { u.ID = "i\u0085" },
		"id not UTF-8":         func(u *Upstream) { u.ID = "i\xff" },
		"service empty":        func(u *Upstream) { u.Service = "" },
		"service with a break": func(u *Upstream) { u.Service = "a\nb" },
		"zone empty":           func(u *Upstream) { u.Zone = "" },
		"zone too long":        func(u *Upstream) { u.Zone = long },
		"address empty":        func(u *Upstream) { u.Address = "" },
		"port 0":               func(u *Upstream) { u.Address = "10.0.0.1:0" },
		"port 65536":           func(u *Upstream) { u.Address = "10.0.0.1:65536" },
		"port negative":        func(u *Upstream) { u.Address = "10.0.0.1:-1" },
		"no port":              func(u *Upstream) { u.Address = "10.0.0.1" },
		"host name":            func(u *Upstream) { u.Address = "localhost:80" },
		"address adds header":  func(u *Upstream) { u.Address = "10.0.0.1:80\r\nX-Tenant: other" },
		"zone of an address":   func(u *Upstream) { u.Address = "[fe80::1%\r\nX: 1]:80" },
		"unspecified address":  func(u *Upstream) { u.Address = "0.0.0.0:80" },
		"multicast address":    func(u *Upstream) { u.Address = "224.0.0.1:80" },
		"other form of a port": func(u *Upstream) { u.Address = "10.0.0.1:080" },
		"no slots":             func(u *Upstream) { u.Slots = 0 },
		"negative slots":       func(u *Upstream) { u.Slots = -3 },
		"slots of 2^31":        func(u *Upstream) { u.Slots = 1 << 31 },
		"slots of 2^63-1":      func(u *Upstream) { u.Slots = math.MaxInt64 },
		"negative cold time":   func(u *Upstream) { u.ColdFor = -time.Second },
		"cold for years":       func(u *Upstream) { u.ColdFor = math.MaxInt64 },
		"started before 1970":  func(u *Upstream) { u.StartedMs = -1 },
		"started in aeons":     func(u *Upstream) { u.StartedMs = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entry := valid
			change(&entry)
			is.True(errors.Is(entry.Check(), ErrInvalidEntry))
			changes := []Change{{Upstream: &valid}, {Upstream: &entry}, {Zone: "z"}}
			is.Equal(CheckChanges(changes), 1)
			is.Equal(changes, []Change{{Upstream: &valid}, {Removed: entry.ID}, {Zone: "z"}})
		})
	}
}
