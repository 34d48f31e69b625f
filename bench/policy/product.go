package policy

import (
	"math/rand/v2"
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling"
)

// product is the scheduler itself.
type product struct {
	*scheduling.Scheduler
}

func newProduct(dataCentre string, random *rand.Rand) *product {
	return &product{Scheduler: scheduling.NewSeeded(dataCentre, random)}
}

// Observe takes a report.
func (p *product) Observe(now time.Time, report Report) {
	p.Scheduler.Observe(now, scheduling.Report{
		UpstreamID: report.UpstreamID,
		Running:    report.Running,
		KVTokens:   report.KVTokens,
		At:         report.Made,
	})
}
