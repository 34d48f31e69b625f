package edge

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

func TestDivisionIsLoggedWhenManyEnginesChangeSides(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	m := divisionMonitor{logger: zerolog.New(&log), metrics: telemetry.NewMetrics(), logged: map[string]placement.Division{}}
	lines := func() int { return strings.Count(log.String(), telemetry.LogEnginesDivided) }
	m.record([]placement.Division{{Service: "llm", Front: 40, Back: 38}})
	m.record([]placement.Division{{Service: "llm", Front: 50, Back: 28}})
	is.Equal(lines(), 1)
	m.record([]placement.Division{{Service: "llm", Front: 60, Back: 18}})
	is.Equal(lines(), 2)
	m.record([]placement.Division{{Service: "llm", Front: 50, Back: 2}}) // a third of the engines left
	is.Equal(lines(), 3)
}
