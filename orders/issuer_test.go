package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newLeaseHolder returns an issuer whose lease has just begun.
func newLeaseHolder(now time.Time, enforcesFencing bool, known VersionedRow) *Issuer {
	issuer := NewIssuer(enforcesFencing, func() string { return "own" })
	issuer.RecordRow(now.Add(-takeOverAfter), known)
	issuer.nextReadAt = now.Add(time.Second)
	if action := issuer.Next(now, true, true, Desired{}, Report{}); action.Kind == Write {
		issuer.RecordWrite(now)
	}
	return issuer
}

func TestMaySendRequiresLeaseAndCurrentFencingToken(t *testing.T) {
	now := time.Unix(1000, 0)
	previous := VersionedRow{Row: Row{LeaseID: "other", Fencing: 6}, Version: 3}
	for _, test := range []struct {
		name            string
		enforcesFencing bool
		fencing         uint64
		after           time.Duration
		want            bool
	}{
		{"during the lease", true, 7, 0, true},
		{"order of an earlier lease", true, 6, 0, false},
		{"after the lease", true, 7, LeaseDuration, false},
		{"previous issuer's orders may still take effect", false, 7, MaxSendDuration - 1, false},
		{"previous issuer's orders can't take effect any longer", false, 7, MaxSendDuration, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			issuer := newLeaseHolder(now, test.enforcesFencing, previous)
			is.Equal(issuer.MaySend(now.Add(test.after), Order{Fencing: test.fencing}), test.want)
		})
	}
}

func TestEngineRefusalRereadsLeaseRow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	issuer := newLeaseHolder(now, true, VersionedRow{})
	is.True(issuer.HoldsLease(now))
	issuer.RecordRefusal()
	is.True(!issuer.HoldsLease(now))
	is.Equal(issuer.Next(now.Add(readInterval), true, true, Desired{Models: []string{"m"}}, Report{}).Kind, Read)
	issuer.RecordRow(now.Add(readInterval), VersionedRow{Row: issuer.attemptedRow, Version: 1})
	is.True(issuer.HoldsLease(now.Add(readInterval))) // according to the table
	is.Equal(issuer.Next(now.Add(readInterval), true, true, Desired{Models: []string{"m"}}, Report{}).Order.Fencing, uint64(1))
}

func TestOrderIsRepeatedUntilLaterReportShowsIt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	issuer := newLeaseHolder(now, true, VersionedRow{})
	desired := Desired{Models: []string{"m"}}
	first := issuer.Next(now, true, true, desired, Report{At: now})
	is.Equal(first.Order, Order{Fencing: 1, Sequence: 1, Kind: LoadModel, Model: "m"})
	issuer.RecordSent(now, first.Order)
	is.Equal(issuer.Next(now.Add(time.Second), true, true, desired, Report{At: now}).Kind, Wait)
	issuer.renewAt = now.Add(LeaseDuration)
	old := Report{Models: desired.Models, At: now.Add(-time.Second)}
	is.Equal(issuer.Next(now.Add(repeatAfter), true, true, desired, old).Kind, Send) // requested before the order
	later := Report{Models: desired.Models, At: now.Add(time.Second)}
	is.Equal(issuer.Next(now.Add(repeatAfter), true, true, desired, later).Kind, Wait)
}
