package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// holder returns a giver whose lease has just begun.
func holder(now time.Time, fences bool, known Versioned) *Giver {
	g := NewGiver(fences, func() string { return "own" })
	g.SeenRow(now.Add(-takeOverAfter), known)
	g.nextRead = now.Add(time.Second)
	if action := g.Next(now, true, true, Desired{}, Report{}); action.Kind == Write {
		g.Wrote(now)
	}
	return g
}

func TestLeaseIsCheckedBeforeASend(t *testing.T) {
	now := time.Unix(1000, 0)
	former := Versioned{Row: Row{Token: "other", Fencing: 6}, Version: 3}
	for _, test := range []struct {
		name    string
		fences  bool
		fencing uint64
		after   time.Duration
		want    bool
	}{
		{"in the lease", true, 7, 0, true},
		{"an order of an earlier lease", true, 6, 0, false},
		{"past the lease", true, 7, Lease, false},
		{"the former giver's orders may still arrive", false, 7, LongestSend - 1, false},
		{"they can't any longer", false, 7, LongestSend, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := holder(now, test.fences, former)
			is.Equal(g.MaySend(now.Add(test.after), Order{Fencing: test.fencing}), test.want)
		})
	}
}

func TestEnginesWordOnFencingIsNotTaken(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := holder(now, true, Versioned{})
	is.True(g.Holds(now))
	g.Refused()
	is.True(!g.Holds(now))
	is.Equal(g.Next(now.Add(readInterval), true, true, Desired{Models: []string{"m"}}, Report{}).Kind, Read)
	g.SeenRow(now.Add(readInterval), Versioned{Row: g.written, Version: 1})
	is.True(g.Holds(now.Add(readInterval))) // the table says so
	is.Equal(g.Next(now.Add(readInterval), true, true, Desired{Models: []string{"m"}}, Report{}).Order.Fencing, uint64(1))
}

func TestOrderIsGivenAgainUntilALaterReportShowsIt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := holder(now, true, Versioned{})
	desired := Desired{Models: []string{"m"}}
	first := g.Next(now, true, true, desired, Report{At: now})
	is.Equal(first.Order, Order{Fencing: 1, Sequence: 1, Kind: LoadModel, Model: "m"})
	g.Sent(now, first.Order)
	is.Equal(g.Next(now.Add(time.Second), true, true, desired, Report{At: now}).Kind, Wait)
	g.renewAt = now.Add(Lease)
	old := Report{Models: desired.Models, At: now.Add(-time.Second)}
	is.Equal(g.Next(now.Add(repeatAfter), true, true, desired, old).Kind, Send) // from before the order
	later := Report{Models: desired.Models, At: now.Add(time.Second)}
	is.Equal(g.Next(now.Add(repeatAfter), true, true, desired, later).Kind, Wait)
}
