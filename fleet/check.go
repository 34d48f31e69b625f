package fleet

import (
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// ErrInvalidEntry is returned for an entry that names no upstream which could be used.
var ErrInvalidEntry = eris.New("invalid entry of an upstream")

// The bounds of an upstream's entry. Entries outside of them are left out wherever they come from; docs/OPERATING.md
// lists them.
const (
	// maxNameBytes bounds the texts of an entry; the store bounds keys alike.
	maxNameBytes = 200
	// maxSlots and maxColdFor are far above any real upstream's.
	maxSlots   = 1 << 16
	maxColdFor = 24 * time.Hour
	// maxStartedMs is the end of the year 9999.
	maxStartedMs = 253_402_300_799_999
)

// Check returns ErrInvalidEntry unless all fields are within bounds. ID and address are written into the heads of
// requests as they are, so that control characters in them would add header lines.
func (u *Upstream) Check() error {
	for _, field := range []struct{ name, text string }{{"id", u.ID}, {"service", u.Service}, {"zone", u.Zone}} {
		if !validName(field.text) {
			return eris.Wrap(ErrInvalidEntry, field.name)
		}
	}
	address, err := netip.ParseAddrPort(u.Address)
	ip := address.Addr()
	switch {
	case err != nil || !ip.Is4() || ip.IsUnspecified() || ip.IsMulticast() || address.Port() == 0 || address.String() != u.Address:
		return eris.Wrap(ErrInvalidEntry, "address")
	case u.Slots < 1 || u.Slots > maxSlots:
		return eris.Wrap(ErrInvalidEntry, "slots")
	case u.ColdFor < 0 || u.ColdFor > maxColdFor:
		return eris.Wrap(ErrInvalidEntry, "warm-up time")
	case u.StartedMs < 0 || u.StartedMs > maxStartedMs:
		return eris.Wrap(ErrInvalidEntry, "start of the process")
	}
	return nil
}

func validName(text string) bool {
	if text == "" || len(text) > maxNameBytes || !utf8.ValidString(text) {
		return false
	}
	for _, r := range text {
		if unicode.IsControl(r) {
			return false
		}
	}
	return true
}

// CheckChanges replaces the changes that bring an invalid entry by the entry's removal, and returns how many there
// were.
func CheckChanges(changes []Change) (invalid int) {
	for i := range changes {
		if entry := changes[i].Upstream; entry != nil && entry.Check() != nil {
			changes[i] = Change{Removed: entry.ID}
			invalid++
		}
	}
	return invalid
}
