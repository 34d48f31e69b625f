// Package telemetry holds the process's metrics, logger and tracer.
package telemetry

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Metrics is the process's registry. It is safe for concurrent use.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns an empty registry.
func NewMetrics() *Metrics {
	return &Metrics{registry: metrics.NewRegistry()}
}

// Count adds delta to a counter. A label is part of the name: name{label="value"}.
func (m *Metrics) Count(name string, delta int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(delta)
}

// Gauge sets a gauge to value.
func (m *Metrics) Gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// Observe adds a duration to a histogram. It is kept in microseconds and exported in seconds.
func (m *Metrics) Observe(name string, value time.Duration) {
	histogram := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	histogram.(metrics.Histogram).Update(value.Microseconds())
}

// CounterValue returns a counter's value, or 0 if there is no such counter.
func (m *Metrics) CounterValue(name string) int64 {
	counter, ok := m.registry.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return counter.Count()
}

// Refusal counts an error response to a caller, by its code.
func (m *Metrics) Refusal(code string) {
	m.Count(fmt.Sprintf("wigeontiller_refusals_total{code=%q}", code), 1)
}

// Attempt counts an attempt sent to an upstream.
func (m *Metrics) Attempt() {
	m.Count("wigeontiller_attempts_total", 1)
}

// FirstToken records the time from a request's arrival to its first token.
func (m *Metrics) FirstToken(taken time.Duration) {
	m.Observe("wigeontiller_first_token_seconds", taken)
}

// Usage counts the prompt tokens that an engine reported, and how many of them
// were in its prefix cache.
func (m *Metrics) Usage(model string, prompt, cached int) {
	m.Count(fmt.Sprintf("wigeontiller_prompt_tokens_total{model=%q}", model), int64(prompt))
	m.Count(fmt.Sprintf("wigeontiller_cached_prompt_tokens_total{model=%q}", model), int64(cached))
}

// InvariantBroken counts a violation of the named invariant.
func (m *Metrics) InvariantBroken(name string) {
	m.Count(fmt.Sprintf("wigeontiller_invariant_broken_total{invariant=%q}", name), 1)
}

// WritePrometheus writes all metrics in the Prometheus text format.
func (m *Metrics) WritePrometheus(w io.Writer) error {
	var lines []string
	m.registry.Each(func(name string, metric any) {
		lines = append(lines, format(name, metric)...)
	})
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

func format(name string, metric any) []string {
	switch typed := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d\n", name, typed.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d\n", name, typed.Value())}
	case metrics.Histogram:
		return formatHistogram(name, typed.Snapshot())
	}
	return nil
}

func formatHistogram(name string, histogram metrics.Histogram) []string {
	var lines []string
	for _, quantile := range []float64{0.5, 0.95, 0.99} {
		value := histogram.Percentile(quantile) / float64(time.Second.Microseconds())
		lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g\n", name, quantile, value))
	}
	return append(lines, fmt.Sprintf("%s_count %d\n", name, histogram.Count()))
}
