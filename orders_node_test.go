package wigeontiller

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/tables"
)

// If several documents name an engine, only settings that all of them declare apply.
func TestEngineSettingsApplyOnlyIfDocumentsAgree(t *testing.T) {
	whole := environment.Engine{Address: "10.0.0.1:1", Fencing: true, ChecksOrders: true, Exclusive: true, Role: "prefill"}
	other := whole
	other.Role = "decode"
	for _, test := range []struct {
		name          string
		first, second environment.Engine
		want          agreedSettings
	}{
		{"agree", whole, whole, agreedSettings{fences: true, checks: true, exclusive: true, role: "prefill"}},
		{"another role", whole, other, agreedSettings{fences: true, checks: true, exclusive: true}},
		{"second declares nothing", whole, environment.Engine{Address: whole.Address}, agreedSettings{}},
		{"first declares nothing", environment.Engine{Address: whole.Address}, whole, agreedSettings{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			current := &tables.Tables{}
			for _, engine := range []environment.Engine{test.first, test.second} {
				document := &environment.Document{Engines: []environment.Engine{engine}}
				current.Plans = append(current.Plans, &tables.Plan{Document: document})
			}
			is.New(t).Equal(agreedEngineSettings(current)[whole.Address], test.want)
		})
	}
}
