package processes

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestOrdersLoadModelsOfTheDocument uses engines that start with no model loaded.
// One rejects stale fencing tokens and unsigned orders, the other accepts any order.
func TestOrdersLoadModelsOfTheDocument(t *testing.T) {
	is := is.New(t)
	s := startDeploymentWith(t, engineSlots, "orders_key: {file: "+keyDirectory+"/orders.key}\n")
	for i, flags := range [][]string{{"--fencing", "--role", "both", "--orders-key", keyDirectory + "/orders.pub"}, {}} {
		s.engines[i] = freeAddress(t)
		start(t, "wigeontiller-standin", append([]string{"engine", "--address", s.engines[i], "--orders", "--load-time", "500ms"}, flags...)...)
	}
	checked := "vm: engine-vm-0, fencing: true, checks_orders: true, role: prefill"
	s.promote(t, strings.Replace(s.document(1), "vm: engine-vm-0", checked, 1))
	for _, n := range s.nodes {
		eventually(t, "the model is served", func() bool { return n.complete("Hello", 2).status == http.StatusOK })
	}
	for _, address := range s.engines {
		eventually(t, "the model is loaded", func() bool { return len(loadedModels(t, address)) == 1 })
		control(t, address, `{"crash":true}`)
		is.Equal(len(loadedModels(t, address)), 0) // a restart unloads the model
		eventually(t, "the model is loaded again", func() bool { return len(loadedModels(t, address)) == 1 })
	}
	is.Equal(s.nodes[0].complete("Hello", 2).status, http.StatusOK)
	eventually(t, "the role is set again", func() bool { return readLoad(t, s.engines[0]).Role == "prefill" })
	is.Equal(readLoad(t, s.engines[0]).Unsigned, 0)
	order := `{"fencing":99,"sequence":1,"kind":"unload","model":"adviser"}`
	forged := call(context.Background(), http.MethodPost, "http://"+s.engines[0]+"/v1/orders", order, nil)
	is.Equal(forged.status, http.StatusUnauthorized)
	is.Equal(len(loadedModels(t, s.engines[0])), 1)
}

func loadedModels(t *testing.T, address string) []string {
	t.Helper()
	return readLoad(t, address).Models
}
