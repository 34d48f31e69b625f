package wigeontiller

import (
	"time"

	"github.com/wigeontiller/wigeontiller/observe"
	"github.com/wigeontiller/wigeontiller/orders"
	"github.com/wigeontiller/wigeontiller/orders/ordering"
	"github.com/wigeontiller/wigeontiller/platform"
	"github.com/wigeontiller/wigeontiller/tables"
)

// ordersSite lets orders see the tables and the reports.
type ordersSite struct{ *reports }

func newOrdering(r *reports, table platform.Table, n *Node) *ordering.Shell {
	return ordering.New(ordering.Config{
		Table:   table,
		Site:    ordersSite{r},
		Sender:  ordering.NewClient(),
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
	fences := fencingEngines(built)
	var engines []ordering.Engine
	for _, target := range observe.Targets(built) {
		engines = append(engines, ordering.Engine{
			Address:    target.Address,
			DataCentre: target.DataCentre,
			Desired:    target.Models,
			Fences:     fences[target.Address],
		})
	}
	return engines
}

// fencingEngines lists the addresses that every document says to refuse orders
// with an old fencing number.
func fencingEngines(built *tables.Tables) map[string]bool {
	fences := map[string]bool{}
	for _, plan := range built.Plans {
		for _, engine := range plan.Document.Engines {
			known, seen := fences[engine.Address]
			fences[engine.Address] = engine.Fencing && (known || !seen)
		}
	}
	return fences
}

// Report implements ordering.Site.
func (s ordersSite) Report(address string) (orders.Report, bool) {
	latest, ok := s.poller.Latest(address)
	return orders.Report{Models: latest.Load.Models, At: latest.At}, ok
}

// Owns implements ordering.Site.
func (s ordersSite) Owns(engine ordering.Engine) bool {
	return s.reports.Owns("orders/"+engine.Address, engine.DataCentre)
}
