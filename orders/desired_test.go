package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRoleComesFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := holder(now, true, Versioned{})
	desired := Desired{Models: []string{"m"}, Role: "prefill"}
	report := Report{Role: "decode", At: now}
	first := g.Next(now, true, false, desired, report) // no load slot is needed for a role
	is.Equal(first.Order, Order{Fencing: 1, Sequence: 1, Kind: SetRole, Model: "prefill"})
	g.Sent(now, first.Order)
	is.Equal(g.Next(now, true, false, desired, report).Kind, Wait)
	is.Equal(g.Next(now, true, true, desired, report).Order, Order{Fencing: 1, Sequence: 2, Kind: LoadModel, Model: "m"})
	report.Role = "" // an engine without roles
	anything, _ := g.Lacks(now, Desired{Role: "prefill"}, report)
	is.True(!anything)
}

func TestUnloading(t *testing.T) {
	for _, test := range []struct {
		name     string
		desired  Desired
		reported []string
		after    time.Duration
		want     Kind
	}{
		{"not named for long enough", Desired{Models: []string{"m"}, Exclusive: true}, []string{"m", "old"}, unloadAfter, Unload},
		{"not named, but not for long", Desired{Models: []string{"m"}, Exclusive: true}, []string{"m", "old"}, unloadAfter - 1, ""},
		{"others use the engine too", Desired{Models: []string{"m"}}, []string{"m", "old"}, unloadAfter, ""},
		{"what is desired comes first", Desired{Models: []string{"m"}, Exclusive: true}, []string{"old"}, unloadAfter, LoadModel},
		{"nothing is left over", Desired{Models: []string{"m"}, Exclusive: true}, []string{"m"}, unloadAfter, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			now := start.Add(test.after)
			g := holder(now, true, Versioned{})
			g.Lacks(start, test.desired, Report{Models: test.reported})
			g.Lacks(now, test.desired, Report{Models: test.reported})
			is.Equal(g.Next(now, true, true, test.desired, Report{Models: test.reported, At: now}).Order.Kind, test.want)
		})
	}
}

func TestModelThatIsNamedAgainIsKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := holder(now, true, Versioned{})
	without, with := Desired{Exclusive: true}, Desired{Models: []string{"m"}, Exclusive: true}
	report := Report{Models: []string{"m"}}
	g.Lacks(now.Add(-unloadAfter), without, report)
	g.Lacks(now.Add(-time.Second), with, report)
	anything, _ := g.Lacks(now, without, report)
	is.True(!anything) // the time without a document began anew
}
