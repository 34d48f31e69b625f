package bench

import "time"

const (
	// localDelay is one way within a data centre.
	localDelay = 200 * time.Microsecond
	// jitterPercent is the most that a delay varies.
	jitterPercent = 50
	// lossShare is the share of messages that are sent again after retransmitTime.
	lossShare      = 0.001
	retransmitTime = 200 * time.Millisecond
)

// delay draws how long one message takes between two data centres.
func (s *site) delay(from, to string) time.Duration {
	base := s.baseDelay(from, to)
	delay := base + time.Duration(s.network.Int64N(int64(base)*jitterPercent/100))
	if from != to && s.network.Float64() < lossShare {
		delay += retransmitTime
	}
	return delay
}

func (s *site) baseDelay(from, to string) time.Duration {
	if from == to {
		return localDelay
	}
	if s.region(from) != s.region(to) {
		return s.config.Deployment.RegionDelay
	}
	return s.config.Deployment.LinkDelay
}

func (s *site) region(dataCentre string) int {
	for i := range s.config.Deployment.DataCentres {
		if dataCentreName(i) == dataCentre {
			return i % s.config.Deployment.Regions
		}
	}
	return 0
}

// connection carries one attempt's messages in order.
type connection struct {
	site         *site
	node         string
	upstream     string
	toAt, fromAt time.Duration
}

// send runs the function at the upstream.
func (c *connection) send(run func()) {
	c.toAt = max(c.toAt, c.site.loop.Now()+c.site.delay(c.node, c.upstream))
	c.site.loop.At(c.toAt, run)
}

// reply runs the function at the node.
func (c *connection) reply(run func()) {
	c.fromAt = max(c.fromAt, c.site.loop.Now()+c.site.delay(c.upstream, c.node))
	c.site.loop.At(c.fromAt, run)
}
