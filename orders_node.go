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

// readOrdersKey returns nil where no key is named. Error: ErrSettings.
func readOrdersKey(place settings.Secret) (ed25519.PrivateKey, error) {
	if place == (settings.Secret{}) {
		return nil, nil
	}
	text, err := place.Read()
	if err != nil {
		return nil, eris.Wrap(ErrSettings, "orders_key: "+err.Error())
	}
	key, err := ordering.ParseKey([]byte(text))
	if err != nil {
		return nil, eris.Wrap(ErrSettings, "orders_key: "+err.Error())
	}
	return key, nil
}

// ordersSite lets orders see the tables and the reports.
type ordersSite struct{ *reports }

func newOrdering(r *reports, table storage.Table, n *Node) *ordering.Shell {
	return ordering.New(ordering.Config{
		Table:   table,
		Site:    ordersSite{r},
		Sender:  ordering.NewClient(n.ordersKey),
		Now:     time.Now,
		Metrics: n.metrics,
		Logger:  n.logger,
	})
}

// Engines implements ordering.Site.
func (s ordersSite) Engines() []ordering.Engine {
	built := s.Tables()
	if built == nil {
		return nil
	}
	agreed := agreements(built)
	var engines []ordering.Engine
	for _, target := range observe.Targets(built) {
		said := agreed[target.Address]
		engines = append(engines, ordering.Engine{
			Address:    target.Address,
			DataCentre: target.DataCentre,
			Desired:    orders.Desired{Models: target.Models, Role: said.role, Exclusive: said.exclusive},
			Fences:     said.fences,
			Checks:     said.checks,
		})
	}
	return engines
}

// agreement is what every document that names an engine says of it.
type agreement struct {
	fences, checks, exclusive bool
	role                      string
}

// agreements returns them by address. Where documents differ, an engine counts
// as not fencing, not checking and not exclusive, and gets no role.
func agreements(built *tables.Tables) map[string]agreement {
	agreed := map[string]agreement{}
	for _, plan := range built.Plans {
		for _, engine := range plan.Document.Engines {
			said := agreement{fences: engine.Fencing, checks: engine.ChecksOrders, exclusive: engine.Exclusive, role: engine.Role}
			if known, seen := agreed[engine.Address]; seen {
				said = known.and(said)
			}
			agreed[engine.Address] = said
		}
	}
	return agreed
}

func (a agreement) and(b agreement) agreement {
	both := agreement{fences: a.fences && b.fences, checks: a.checks && b.checks, exclusive: a.exclusive && b.exclusive}
	if a.role == b.role {
		both.role = a.role
	}
	return both
}

// Report implements ordering.Site.
func (s ordersSite) Report(address string) (orders.Report, bool) {
	latest, ok := s.poller.Latest(address)
	return orders.Report{Models: latest.Load.Models, Role: latest.Load.Role, At: latest.At}, ok
}

// Owns implements ordering.Site. The giver is the engine's poller, since what
// pollers tell others leaves out roles and models that no document names.
func (s ordersSite) Owns(engine ordering.Engine) bool {
	target := observe.Target{Address: engine.Address}
	return s.reports.Owns(target.Role(), engine.DataCentre)
}
