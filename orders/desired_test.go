package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRoleOrderPrecedesLoadOrder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	issuer := newLeaseHolder(now, true, VersionedRow{})
	desired := Desired{Models: []string{"m"}, Role: "prefill"}
	report := Report{Role: "decode", At: now}
	first := issuer.Next(now, true, false, desired, report) // a role order needs no load slot
	is.Equal(first.Order, Order{Fencing: 1, Sequence: 1, Kind: SetRole, Model: "prefill"})
	issuer.RecordSent(now, first.Order)
	is.Equal(issuer.Next(now, true, false, desired, report).Kind, Wait)
	is.Equal(issuer.Next(now, true, true, desired, report).Order, Order{Fencing: 1, Sequence: 2, Kind: LoadModel, Model: "m"})
	report.Role = "" // an engine without roles
	needsOrder, _ := issuer.Evaluate(now, Desired{Role: "prefill"}, report)
	is.True(!needsOrder)
}

func TestIssuerUnloadsModelsThatStayUnwanted(t *testing.T) {
	for _, test := range []struct {
		name     string
		desired  Desired
		reported []string
		after    time.Duration
		want     Kind
	}{
		{"unwanted for long enough", Desired{Models: []string{"m"}, Exclusive: true}, []string{"m", "old"}, unloadAfter, Unload},
		{"not unwanted for long enough", Desired{Models: []string{"m"}, Exclusive: true}, []string{"m", "old"}, unloadAfter - 1, ""},
		{"engine is not exclusive", Desired{Models: []string{"m"}}, []string{"m", "old"}, unloadAfter, ""},
		{"desired model is still missing", Desired{Models: []string{"m"}, Exclusive: true}, []string{"old"}, unloadAfter, LoadModel},
		{"no unwanted model", Desired{Models: []string{"m"}, Exclusive: true}, []string{"m"}, unloadAfter, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			now := start.Add(test.after)
			issuer := newLeaseHolder(now, true, VersionedRow{})
			issuer.Evaluate(start, test.desired, Report{Models: test.reported})
			issuer.Evaluate(now, test.desired, Report{Models: test.reported})
			is.Equal(issuer.Next(now, true, true, test.desired, Report{Models: test.reported, At: now}).Order.Kind, test.want)
		})
	}
}

func TestUnloadDelayRestartsWhenModelIsDesiredAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	issuer := newLeaseHolder(now, true, VersionedRow{})
	without, with := Desired{Exclusive: true}, Desired{Models: []string{"m"}, Exclusive: true}
	report := Report{Models: []string{"m"}}
	issuer.Evaluate(now.Add(-unloadAfter), without, report)
	issuer.Evaluate(now.Add(-time.Second), with, report)
	needsOrder, _ := issuer.Evaluate(now, without, report)
	is.True(!needsOrder) // the unload delay has restarted
}
