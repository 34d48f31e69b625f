package wigeontiller

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/tables"
)

// Of an engine that several documents name, only what all of them say counts.
func TestDocumentsThatDifferOnAnEngine(t *testing.T) {
	whole := environment.Engine{Address: "10.0.0.1:1", Fencing: true, ChecksOrders: true, Exclusive: true, Role: "prefill"}
	other := whole
	other.Role = "decode"
	for _, test := range []struct {
		name          string
		first, second environment.Engine
		want          agreement
	}{
		{"agree", whole, whole, agreement{fences: true, checks: true, exclusive: true, role: "prefill"}},
		{"another role", whole, other, agreement{fences: true, checks: true, exclusive: true}},
		{"one says nothing", whole, environment.Engine{Address: whole.Address}, agreement{}},
		{"the first says nothing", environment.Engine{Address: whole.Address}, whole, agreement{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			built := &tables.Tables{}
			for _, engine := range []environment.Engine{test.first, test.second} {
				document := &environment.Document{Engines: []environment.Engine{engine}}
				built.Plans = append(built.Plans, &tables.Plan{Document: document})
			}
			is.New(t).Equal(agreements(built)[whole.Address], test.want)
		})
	}
}
