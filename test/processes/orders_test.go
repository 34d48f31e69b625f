package processes

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestOrdersLoadWhatTheDocumentNames uses engines that start with nothing
// loaded; the one refuses old fencing numbers, the other takes any.
func TestOrdersLoadWhatTheDocumentNames(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	for i, flags := range [][]string{{"--fencing"}, {}} {
		s.engines[i] = freeAddress(t)
		start(t, "wigeontiller-standin", append([]string{"engine", "--address", s.engines[i], "--orders", "--load-time", "500ms"}, flags...)...)
	}
	s.promote(t, s.document(1))
	for _, n := range s.nodes {
		eventually(t, "the model is served", func() bool { return n.complete("Hello", 2).status == http.StatusOK })
	}
	for _, address := range s.engines {
		eventually(t, "the model is loaded", func() bool { return len(loadedModels(t, address)) == 1 })
		control(t, address, `{"crash":true}`)
		is.Equal(len(loadedModels(t, address)), 0) // a restart loses it
		eventually(t, "the model is loaded again", func() bool { return len(loadedModels(t, address)) == 1 })
	}
	is.Equal(s.nodes[0].complete("Hello", 2).status, http.StatusOK)
}

func loadedModels(t *testing.T, address string) []string {
	t.Helper()
	var load struct {
		Models []string `json:"models"`
	}
	got := call(context.Background(), http.MethodGet, "http://"+address+"/v1/load", "", nil)
	if err := json.Unmarshal([]byte(got.body), &load); err != nil {
		t.Fatal(err)
	}
	return load.Models
}
