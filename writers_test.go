package wigeontiller

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/storage"
)

func TestFleetSizeFromSettingsAndVMList(t *testing.T) {
	is := is.New(t)
	_, known := configuredFleet(&settings.Settings{Seeds: []string{"a", "b"}})
	is.True(!known)
	fleet, known := configuredFleet(&settings.Settings{EntryNodes: map[string]map[string]int{"r": {"a": 3, "b": 3}, "s": {"c": 2}}})
	is.True(known)
	is.Equal(fleet, fleetSize{nodes: 8, dataCentres: 3})
	listed := listedFleet([]storage.VM{{DataCentre: "a", PeerAddress: "10.0.0.1:1"}, {DataCentre: "b"}})
	is.Equal(*listed, fleetSize{nodes: 1, dataCentres: 1}) // upstreams' VMs don't count
}
