package admission

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of the rate of arrivals.
	rateTime = time.Second
	// placeWeight is the weight of one new request in the mean time for which places are held.
	placeWeight = 0.1
)

// meter measures the requests of one class at this node.
type meter struct {
	// perSecond is the rate of arrivals as of at; it decays with rateTime.
	perSecond float64
	at        time.Duration
	// placeMs is the decaying mean time for which requests hold their places; 0 is not known.
	placeMs float64
}

func (m *meter) rate(now time.Duration) float64 {
	return m.perSecond * math.Exp(-float64(now-m.at)/float64(rateTime))
}

func (m *meter) arrive(now time.Duration) {
	m.perSecond = m.rate(now) + 1/rateTime.Seconds()
	m.at = now
}

func (m *meter) end(held time.Duration) {
	ms := float64(held.Microseconds()) / 1000
	if m.placeMs == 0 {
		m.placeMs = ms
		return
	}
	m.placeMs += (ms - m.placeMs) * placeWeight
}
