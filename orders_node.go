package wigeontiller

import (
	"crypto/ed25519"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/observe"
	"github.com/wigeontiller/wigeontiller/orders"
	"github.com/wigeontiller/wigeontiller/orders/ordering"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/tables"
)

// readOrdersKey reads the signing key; nil if the settings name none. Error:
// ErrSettings.
func readOrdersKey(source settings.Secret) (ed25519.PrivateKey, error) {
	if source == (settings.Secret{}) {
		return nil, nil
	}
	text, err := source.Read()
	if err != nil {
		return nil, eris.Wrap(ErrSettings, "orders_key: "+err.Error())
	}
	key, err := ordering.ParseKey([]byte(text))
	if err != nil {
		return nil, eris.Wrap(ErrSettings, "orders_key: "+err.Error())
	}
	return key, nil
}

// ordersView provides the tables and load reports to the issuer of orders.
type ordersView struct{ *loadReports }

func newOrderRunner(r *loadReports, table storage.Table, n *Node) *ordering.Runner {
	return ordering.New(ordering.Config{
		Table:   table,
		Engines: ordersView{r},
		Sender:  ordering.NewClient(n.ordersKey),
		Now:     time.Now,
		Metrics: n.metrics,
		Logger:  n.logger,
	})
}

// Engines implements ordering.EngineSource.
func (s ordersView) Engines() []ordering.Engine {
	current := s.Tables()
	if current == nil {
		return nil
	}
	agreed := agreedEngineSettings(current)
	var engines []ordering.Engine
	for _, target := range observe.Targets(current) {
		declared := agreed[target.Address]
		engines = append(engines, ordering.Engine{
			Address:          target.Address,
			DataCentre:       target.DataCentre,
			Desired:          orders.Desired{Models: target.Models, Role: declared.role, Exclusive: declared.exclusive},
			EnforcesFencing:  declared.fences,
			ChecksSignatures: declared.checks,
		})
	}
	return engines
}

// agreedSettings holds the settings that all documents that name an engine agree on.
type agreedSettings struct {
	fences, checks, exclusive bool
	role                      string
}

// agreedEngineSettings returns the agreed settings by engine address. Where documents
// differ on fencing, checks or exclusive, that setting is false; where they differ on
// the role, it is empty.
func agreedEngineSettings(current *tables.Tables) map[string]agreedSettings {
	agreed := map[string]agreedSettings{}
	for _, plan := range current.Plans {
		for _, engine := range plan.Document.Engines {
			declared := agreedSettings{fences: engine.Fencing, checks: engine.ChecksOrders, exclusive: engine.Exclusive, role: engine.Role}
			if known, seen := agreed[engine.Address]; seen {
				declared = known.intersect(declared)
			}
			agreed[engine.Address] = declared
		}
	}
	return agreed
}

func (a agreedSettings) intersect(b agreedSettings) agreedSettings {
	both := agreedSettings{fences: a.fences && b.fences, checks: a.checks && b.checks, exclusive: a.exclusive && b.exclusive}
	if a.role == b.role {
		both.role = a.role
	}
	return both
}

// Report implements ordering.EngineSource.
func (s ordersView) Report(address string) (orders.Report, bool) {
	latest, ok := s.poller.Latest(address)
	return orders.Report{Models: latest.Load.Models, Role: latest.Load.Role, At: latest.At}, ok
}

// Owns implements ordering.EngineSource. The issuer is the engine's poller, since published
// reports leave out roles and models that no document names.
func (s ordersView) Owns(engine ordering.Engine) bool {
	target := observe.Target{Address: engine.Address}
	return s.loadReports.Owns(target.Role(), engine.DataCentre)
}
