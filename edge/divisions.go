package edge

import (
	"fmt"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// divisionLogShare is the share of a service's engines that must change sides before the division is logged
// again.
const divisionLogShare = 0.2

// divisionMonitor logs and publishes how the engines of divided services are divided.
type divisionMonitor struct {
	logger  zerolog.Logger
	metrics *telemetry.Metrics
	// logged holds the division of each service that was logged last.
	logged map[string]placement.Division
}

func (m *divisionMonitor) record(divisions []placement.Division) {
	for _, d := range divisions {
		for part, engines := range map[string]int{"front": d.Front, "back": d.Back, "back_reading": d.Reading, "back_streaming": d.Streaming} {
			m.metrics.Gauge(fmt.Sprintf("wigeontiller_division_engines{service=%q,part=%q}", d.Service, part), int64(engines))
		}
		last, logged := m.logged[d.Service]
		moved := max(d.Front-last.Front, last.Front-d.Front, d.Front+d.Back-last.Front-last.Back, last.Front+last.Back-d.Front-d.Back)
		if logged && float64(moved) <= divisionLogShare*float64(last.Front+last.Back) {
			continue
		}
		m.logged[d.Service] = d
		m.logger.Info().Str("service", d.Service).Int("front", d.Front).Int("back", d.Back).
			Int("back_reading", d.Reading).Int("back_streaming", d.Streaming).Msg(telemetry.LogEnginesDivided)
	}
}
